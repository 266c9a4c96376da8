/**
 * Who the entry instances are: the platform's list, which lags, corrected by
 * what the instances say of themselves.
 *
 * @module
 */
import { type Clock, InstanceId, RegionId, ZoneId } from "../core/mod.ts";
import type { Batch, Sender } from "../gen/peer_pb.ts";
import type { PeerSubsystem } from "../peers/mod.ts";
import type { ListedInstance } from "../store/mod.ts";

/** An instance as this one knows it. */
export interface Member extends ListedInstance {
  /** When it was last heard itself; undefined if only the platform named it. */
  readonly heardAt: number | undefined;
}

/** A member that was silent this long, in milliseconds, is not sent callers. */
export const SILENT_MS = 2_000;

/**
 * A member that was silent this long and is off the platform's list is
 * forgotten. Without this, instances that were replaced months ago would still
 * be called several times a second, and memory would grow with every one.
 */
export const FORGET_MS = 60_000;
/** Time between two ticks from which on this instance itself was paused. */
const OWN_PAUSE_MS = 1_000;

/** The table of entry instances other than this one. */
export class Roster implements PeerSubsystem {
  readonly name = "roster";
  readonly #clock: Clock;
  readonly #self: string;
  readonly #members = new Map<string, Member>();
  #ranAt: number | undefined;

  constructor(clock: Clock, self: string) {
    this.#clock = clock;
    this.#self = self;
  }

  /** Takes in the platform's list; what was heard directly goes before it. */
  adoptList(listed: readonly ListedInstance[]): void {
    this.#forget(new Set(listed.map((entry) => entry.instance)));
    for (const entry of listed) {
      if (entry.instance === this.#self) continue;
      const known = this.#members.get(entry.instance);
      if (known?.heardAt !== undefined) continue;
      this.#members.set(entry.instance, { ...entry, heardAt: undefined });
    }
  }

  /**
   * Notices a pause of this instance: all others then look silent although
   * only this one was, and callers would be told that nobody else is there.
   * The time that was lost here counts against nobody.
   */
  run(now: number): void {
    const gap = now - (this.#ranAt ?? now);
    this.#ranAt = now;
    if (gap < OWN_PAUSE_MS) return;
    for (const [id, member] of this.#members) {
      if (member.heardAt === undefined) continue;
      this.#members.set(id, { ...member, heardAt: member.heardAt + gap });
    }
  }

  fill(): void {}

  absorb(_batch: Batch, from: Sender): void {
    const id = InstanceId.safeParse(from.instance);
    const zone = ZoneId.safeParse(from.zone);
    const region = RegionId.safeParse(from.region);
    if (!id.success || !zone.success || !region.success) return;
    if (id.data === this.#self) return;
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

  #forget(listed: ReadonlySet<string>): void {
    const oldest = this.#clock.now() - FORGET_MS;
    for (const [id, { heardAt }] of this.#members) {
      if (listed.has(id)) continue;
      if (heardAt === undefined || heardAt < oldest) this.#members.delete(id);
    }
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
