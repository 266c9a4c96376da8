/**
 * Who the entry instances are: the platform's list, which lags, corrected by
 * what the instances say of themselves.
 *
 * @module
 */
import { type Clock, InstanceId, RegionId, ZoneId } from "../core/mod.ts";
import type { Batch, Sender } from "../gen/peer_pb.ts";
import type { PeerSubsystem } from "../peers/mod.ts";
import type { ListedInstance } from "../platform/mod.ts";

/** An instance as this one knows it. */
export interface Member extends ListedInstance {
  /** When it was last heard itself; undefined if only the platform named it. */
  readonly heardAt: number | undefined;
}

/** A member that was silent this long, in milliseconds, is not sent callers. */
export const SILENT_MS = 2_000;

/** The table of entry instances other than this one. */
export class Roster implements PeerSubsystem {
  readonly #clock: Clock;
  readonly #self: string;
  readonly #members = new Map<string, Member>();

  constructor(clock: Clock, self: string) {
    this.#clock = clock;
    this.#self = self;
  }

  /** Takes in the platform's list; what was heard directly goes before it. */
  adoptList(listed: readonly ListedInstance[]): void {
    for (const entry of listed) {
      if (entry.instance === this.#self) continue;
      const known = this.#members.get(entry.instance);
      if (known?.heardAt !== undefined) continue;
      this.#members.set(entry.instance, { ...entry, heardAt: undefined });
    }
  }

  fill(): void {}

  absorb(_batch: Batch, from: Sender): void {
    const id = InstanceId.safeParse(from.instance);
    const zone = ZoneId.safeParse(from.zone);
    const region = RegionId.safeParse(from.region);
    if (!id.success || !zone.success || !region.success) return;
    this.#members.set(id.data, {
      instance: id.data,
      zone: zone.data,
      region: region.data,
      peerUrl: from.peerUrl,
      callerUrl: from.callerUrl,
      state: from.leaving ? "leaving" : "live",
      heardAt: this.#clock.now(),
    });
  }

  /** Everybody known, heard or not. */
  members(): Member[] {
    return [...this.#members.values()];
  }

  /** Members heard lately and not leaving. */
  live(): Member[] {
    const oldest = this.#clock.now() - SILENT_MS;
    return this.members().filter((m) =>
      m.state === "live" && m.heardAt !== undefined && m.heardAt >= oldest
    );
  }
}
