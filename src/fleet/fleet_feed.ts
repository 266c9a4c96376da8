/**
 * Passes on what groups report from one of two feeds: from each instance and
 * zone as this instance hears them, or from the zone's relay as one sum.
 *
 * Both must never be in use at once: the same requests would count twice.
 *
 * @module
 */
import type { InstanceId } from "../core/mod.ts";
import type { ReservedShares } from "../decisions/quotas/mod.ts";
import type { Digest } from "./digest.ts";
import type { ObservedLimits } from "./limit_rows.ts";

/** What an instance, a zone or the rest of the fleet reported. */
export interface GroupReport extends
  Pick<
    Digest,
    "start" | "storeInTouch" | "changes" | "uses" | "inFlight"
  > {
  /** The instance, or a name for the zone or the fleet. */
  readonly group: InstanceId;
  /** Limits of endpoints, on this instance's clock. */
  readonly limits: ObservedLimits;
  /** How many instances it stands for. */
  readonly instances: number;
  /** What unreachable instances may be spending, as far as the group says. */
  readonly reserved?: ReservedShares;
}

/** Takes in what groups report, and which of them become unreachable. */
export interface GroupEvents {
  reported(news: GroupReport, now: number): void;
  /** A group was not heard lately; it may be cut off. */
  suspect(group: InstanceId): void;
  /** A group is heard no more. */
  unreachable(group: InstanceId): void;
  /** A group is taken to have ended, or counts as part of another. */
  removed(group: InstanceId): void;
}

/** Stands for all other instances, as the zone's relay sums them. */
export const FLEET_GROUP = "fleet" as InstanceId;

/**
 * News of a group is dropped once the relay alone has heard it for this long,
 * in milliseconds.
 */
const STALE_AFTER_MS = 3_000;

interface DirectGroup {
  readonly news: GroupReport;
  readonly at: number;
  suspect: boolean;
}

/** The feed in use at one instance. */
export class FleetFeed {
  readonly #events: GroupEvents;
  readonly #direct = new Map<InstanceId, DirectGroup>();
  #relayed = false;

  constructor(events: GroupEvents) {
    this.#events = events;
  }

  /** Whether the zone's relay is followed. */
  get isRelayed(): boolean {
    return this.#relayed;
  }

  /** A group was heard itself. */
  reported(news: GroupReport, now: number): void {
    this.#direct.set(news.group, { news, at: now, suspect: false });
    if (!this.#relayed) this.#events.reported(news, now);
  }

  suspect(group: InstanceId): void {
    const known = this.#direct.get(group);
    if (known !== undefined) known.suspect = true;
    if (!this.#relayed) this.#events.suspect(group);
  }

  unreachable(group: InstanceId): void {
    if (!this.#relayed) this.#events.unreachable(group);
  }

  forget(group: InstanceId): void {
    const known = this.#direct.delete(group);
    if (known && !this.#relayed) this.#events.removed(group);
  }

  /** The relay reported the rest of the fleet. */
  onAggregate(news: GroupReport, now: number): void {
    if (!this.#relayed) {
      for (const group of this.#direct.keys()) this.#events.removed(group);
      this.#relayed = true;
    }
    for (const [group, { at, suspect }] of this.#direct) {
      if (!suspect && now - at > STALE_AFTER_MS) this.#direct.delete(group);
    }
    this.#events.reported(news, now);
  }

  /** The relay is not heard, or another takes over: counts begin anew. */
  relaySuspect(): void {
    if (this.#relayed) this.#events.suspect(FLEET_GROUP);
  }

  relayUnreachable(): void {
    if (this.#relayed) this.#events.unreachable(FLEET_GROUP);
  }

  /**
   * From now on each group is heard itself; gives whether any is. One that is
   * cut off from all keeps to what it held while it followed the relay.
   */
  followGroups(now: number): boolean {
    if (!this.#relayed) return true;
    const groups = [...this.#direct.values()];
    if (groups.every(({ suspect }) => suspect)) return false;
    this.#relayed = false;
    this.#events.removed(FLEET_GROUP);
    for (const { news, suspect } of groups) {
      this.#events.reported(news, now);
      if (suspect) this.#events.suspect(news.group);
    }
    return true;
  }
}
