/**
 * Forwards group reports from one of two sources: the direct reports of each
 * instance and zone, or one sum for the fleet from the zone's relay.
 *
 * Both must never be in use at once: the same requests would count twice.
 *
 * @module
 */
import type { InstanceId } from "../core/mod.ts";
import type { ReservedShares } from "../decisions/quotas/mod.ts";
import type { Digest } from "./digest.ts";
import type { ObservedLimits } from "./limit_rows.ts";

/** Report of an instance, a zone or the rest of the fleet. */
export interface GroupReport extends
  Pick<
    Digest,
    | "start"
    | "storeInTouch"
    | "storeContactMs"
    | "changes"
    | "uses"
    | "inFlight"
  > {
  /** Id of the instance, or a name for the zone or the fleet. */
  readonly group: InstanceId;
  /** Limits of endpoints, on this instance's clock. */
  readonly limits: ObservedLimits;
  /** Number of instances in the report. */
  readonly instances: number;
  /** Shares that the group reserves for unreachable instances. */
  readonly reserved?: ReservedShares;
}

/** Receives reports and state changes of groups. */
export interface GroupEvents {
  reported(report: GroupReport, now: number): void;
  /** Reports of a group are overdue; it may be partitioned. */
  suspect(group: InstanceId): void;
  unreachable(group: InstanceId): void;
  /** A group is considered ended, or is now part of another. */
  removed(group: InstanceId): void;
}

/** Group of all other instances, as summed by the zone's relay. */
export const FLEET_GROUP = "fleet" as InstanceId;

/**
 * A direct report is dropped at this age while the relay is followed, unless its
 * group is suspect.
 */
const STALE_AFTER_MS = 3_000;

interface DirectGroup {
  readonly lastReport: GroupReport;
  readonly at: number;
  suspect: boolean;
}

/** Selects the source in use at one instance. */
export class FleetFeed {
  readonly #events: GroupEvents;
  readonly #direct = new Map<InstanceId, DirectGroup>();
  #followsRelay = false;

  constructor(events: GroupEvents) {
    this.#events = events;
  }

  get followsRelay(): boolean {
    return this.#followsRelay;
  }

  /** When the oldest of the direct reports arrived; those overdue are left out. */
  get oldestDirectAt(): number | undefined {
    let oldest: number | undefined;
    for (const { at, suspect } of this.#direct.values()) {
      if (!suspect) oldest = Math.min(oldest ?? at, at);
    }
    return oldest;
  }

  /** Records a group's direct report; forwards it unless a relay is followed. */
  reported(report: GroupReport, now: number): void {
    this.#direct.set(report.group, {
      lastReport: report,
      at: now,
      suspect: false,
    });
    if (!this.#followsRelay) this.#events.reported(report, now);
  }

  suspect(group: InstanceId): void {
    const known = this.#direct.get(group);
    if (known !== undefined) known.suspect = true;
    if (!this.#followsRelay) this.#events.suspect(group);
  }

  unreachable(group: InstanceId): void {
    if (!this.#followsRelay) this.#events.unreachable(group);
  }

  forget(group: InstanceId): void {
    const known = this.#direct.delete(group);
    if (known && !this.#followsRelay) this.#events.removed(group);
  }

  /** Forwards the relay's sum in place of the direct reports. */
  onAggregate(report: GroupReport, now: number): void {
    if (!this.#followsRelay) {
      for (const group of this.#direct.keys()) this.#events.removed(group);
      this.#followsRelay = true;
    }
    for (const [group, { at, suspect }] of this.#direct) {
      if (!suspect && now - at > STALE_AFTER_MS) this.#direct.delete(group);
    }
    this.#events.reported(report, now);
  }

  /** The relay is overdue, or another takes over with counters of its own. */
  onRelaySuspect(): void {
    if (this.#followsRelay) this.#events.suspect(FLEET_GROUP);
  }

  onRelayUnreachable(): void {
    if (this.#followsRelay) this.#events.unreachable(FLEET_GROUP);
  }

  /**
   * Switches to the direct reports; returns whether they are in use. An instance
   * partitioned from all others keeps the state it had while it followed the
   * relay.
   */
  useDirectReports(now: number): boolean {
    if (!this.#followsRelay) return true;
    const groups = [...this.#direct.values()];
    if (groups.every(({ suspect }) => suspect)) return false;
    this.#followsRelay = false;
    this.#events.removed(FLEET_GROUP);
    for (const { lastReport, suspect } of groups) {
      this.#events.reported(lastReport, now);
      if (suspect) this.#events.suspect(lastReport.group);
    }
    return true;
  }
}
