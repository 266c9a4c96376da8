/**
 * Tracks the entry instances: the platform's list, which lags, corrected by
 * the messages that the instances send.
 *
 * @module
 */
import { type Clock, InstanceId, RegionId, ZoneId } from "../core/mod.ts";
import type { Batch, Sender } from "../gen/peer_pb.ts";
import type { PeerSubsystem } from "../peers/mod.ts";
import type { ListedInstance } from "../store/mod.ts";

/** An instance as this one sees it. */
export interface Member extends ListedInstance {
  /** When its last message arrived; undefined if it is only on the list. */
  readonly heardAt: number | undefined;
}

/** A member silent for longer, in milliseconds, is not listed to callers. */
export const MEMBER_TIMEOUT_MS = 2_000;

/**
 * A member silent for longer than this, in milliseconds, and absent from the
 * platform's list is removed. Otherwise replaced instances would be called
 * several times a second for ever, and memory would grow with each.
 */
export const EVICT_AFTER_MS = 60_000;
/** A gap between ticks of this many milliseconds means this process paused. */
const LOCAL_PAUSE_MS = 1_000;

/** The entry instances other than this one. */
export class Roster implements PeerSubsystem {
  readonly name = "roster";
  readonly #clock: Clock;
  readonly #self: string;
  readonly #members = new Map<string, Member>();
  #lastRunAt: number | undefined;

  constructor(clock: Clock, self: string) {
    this.#clock = clock;
    this.#self = self;
  }

  /** Applies the platform's list; members' own messages take precedence. */
  applyList(listed: readonly ListedInstance[]): void {
    this.#evict(new Set(listed.map((entry) => entry.instance)));
    for (const entry of listed) {
      if (entry.instance === this.#self) continue;
      const known = this.#members.get(entry.instance);
      if (known?.heardAt !== undefined) continue;
      this.#members.set(entry.instance, { ...entry, heardAt: undefined });
    }
  }

  /**
   * Detects a pause of this process and excludes it from the members' silence.
   * Otherwise all members would look silent after it, and look-ups would list
   * no other instance.
   */
  run(now: number): void {
    const gap = now - (this.#lastRunAt ?? now);
    this.#lastRunAt = now;
    if (gap < LOCAL_PAUSE_MS) return;
    for (const [id, member] of this.#members) {
      if (member.heardAt === undefined) continue;
      this.#members.set(id, { ...member, heardAt: member.heardAt + gap });
    }
  }

  fill(): void {}

  receive(_batch: Batch, from: Sender): void {
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

  #evict(listed: ReadonlySet<string>): void {
    const oldest = this.#clock.now() - EVICT_AFTER_MS;
    for (const [id, { heardAt }] of this.#members) {
      if (listed.has(id)) continue;
      if (heardAt === undefined || heardAt < oldest) this.#members.delete(id);
    }
  }

  /** All members, whether or not a message of theirs has arrived. */
  members(): Member[] {
    return [...this.#members.values()];
  }

  /** Members that sent a message recently and are not leaving. */
  live(): Member[] {
    const oldest = this.#clock.now() - MEMBER_TIMEOUT_MS;
    return this.members().filter((m) =>
      m.state === "live" && m.heardAt !== undefined && m.heardAt >= oldest
    );
  }
}
