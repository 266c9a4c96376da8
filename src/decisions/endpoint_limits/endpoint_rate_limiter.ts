/**
 * Rate limiting of requests to endpoints that announce a fleet-wide limit.
 *
 * Load: an overloaded endpoint is the primary of keys that many instances
 * request, at several times its limit. Each instance admits the same fraction
 * of its demand, the limit over the fleet's demand, evenly spaced. So the rate
 * follows the demand at any fleet size, and instances accumulate no tokens that
 * all could spend at once. If each instance applied the limit by itself, the
 * endpoint would get that rate from every one of them.
 *
 * Feedback from the recent sends of the fleet corrects the fraction, and bounds
 * a rise in demand that peers have not reported yet.
 *
 * @module
 */
import {
  type EndpointId,
  hashFraction,
  type InstanceId,
} from "../../core/mod.ts";
import {
  type FleetDemand,
  type RateLimitId,
  type RateUse,
  type Reporter,
  unreportedMs,
} from "../quotas/mod.ts";
import { type LimitRow, newLimitRow, WINDOW_MS } from "./limit_row.ts";
import { boundUnreported, type UnreportedBound } from "./unreported_sends.ts";

/**
 * Part of the fleet whose reports make a view of it. With fewer, an instance
 * would take the few for all and spend a multiple of its part.
 */
const MIN_COVERAGE = 0.8;
/** Fleet size assumed until the instance list is read. */
const MAX_FLEET_SIZE = 2_000;
/**
 * Local demand of at least one request in the time constant of its average, or
 * an endpoint would seem to have room until its next request is counted.
 */
const MIN_LOCAL_PER_S = 1;
/** Sends that the window may hold above the limit. */
const WINDOW_SLACK = 1;
/** What the platform tolerates in a window: this factor, and this many more. */
const TOLERATED_FACTOR = 1.5;
const TOLERATED_SLACK = 5;
/** Part of the tolerance that unreported sends may use. */
const TOLERANCE_IN_USE = 0.9;
/**
 * Demand, as a multiple of the limit, to which it may rise before reports show
 * that it does.
 */
const MAX_DEMAND = 7;
/**
 * The limit is multiplied by `FEEDBACK_BASE`, less `FEEDBACK_GAIN` times the
 * window's utilization: by one at full utilization, by more below it.
 */
const FEEDBACK_BASE = 1.5;
const FEEDBACK_GAIN = 0.5;
/**
 * Fraction of a limit held in reserve per second of gossip delay, for requests
 * admitted before peers report a rise in demand.
 */
const RESERVE_PER_S = 0.2;
const MAX_RESERVE = 0.5;
/**
 * Minimum rate in requests a second: a change of the limit shows only in
 * responses, so some requests have to be sent.
 */
const MIN_PER_S = 0.25;
/** Factor by which an instance may exceed its share of the window. */
const OWN_OVERSHOOT = 1.25;
/** Credit in advance for requests of rank 0 at one instance, at most. */
const URGENT_CREDIT = 0.5;
/** Time constant of the fleet's baseline demand. */
const BASELINE_TIME_CONSTANT_MS = 3_000;
const MS_PER_S = 1_000;

/** A request for an endpoint with a limit. */
export interface LimitedRequest {
  /** The endpoint's limit over all instances, in requests a second. */
  readonly ratePerS: number;
  /** Priority; 0 is the most urgent. */
  readonly rank: number;
}

/** What a limit's decisions are based on, for logs. */
export interface LimitState {
  /** The fleet's demand, in requests a second. */
  readonly demandPerS: number;
  /** Fraction of the requests that is admitted. */
  readonly fraction: number;
  /** Sends in the window, of the fleet as reported and of this instance. */
  readonly windowSent: number;
  readonly ownWindowSent: number;
  /** Requests sent from here since the limit is tracked. */
  readonly sent: number;
  /** Instances whose reports are known, this one included. */
  readonly reporting: number;
  /** Fraction of the limit that is reserved for unreachable instances. */
  readonly reserved: number;
}

/** Limits one instance's requests to endpoints that announce a limit. */
export class EndpointRateLimiter {
  readonly #own: InstanceId;
  readonly #demand: FleetDemand;
  readonly #gossipDelayMs: () => number;
  readonly #isFleetKnown: () => boolean;
  readonly #rows = new Map<EndpointId, LimitRow>();

  /**
   * @param opts The fleet's demand, which covers endpoints too, and the maximum
   * age of peers' reports.
   */
  constructor(
    own: InstanceId,
    opts: {
      readonly demand: FleetDemand;
      readonly gossipDelayMs: () => number;
      /** Whether the instance list was read. */
      readonly isFleetKnown: () => boolean;
    },
  ) {
    this.#own = own;
    this.#demand = opts.demand;
    this.#gossipDelayMs = opts.gossipDelayMs;
    this.#isFleetKnown = opts.isFleetKnown;
  }

  /** Starts counting what peers send to an endpoint with a new limit. */
  track(id: EndpointId, now: number): void {
    this.#rowOf(id, now);
  }

  /** Whether the next request to an endpoint would be admitted. */
  hasRoom(id: EndpointId, req: LimitedRequest, now: number): boolean {
    const row = this.#rowOf(id, now);
    return this.#hasWindowRoom(row, id, req, now) &&
      this.#isAdmitted(
        row.credit + this.#admitFraction(row, id, req, now),
        req,
      );
  }

  /**
   * Counts a request for an endpoint as demand, and admits or refuses it.
   *
   * @example
   * ```ts
   * if (!limiter.take(id, { ratePerS: 6.6, rank: 0 }, now)) chooseAnother();
   * ```
   */
  take(id: EndpointId, req: LimitedRequest, now: number): boolean {
    this.#demand.recordRequest(id, now);
    const row = this.#rowOf(id, now);
    row.credit += this.#admitFraction(row, id, req, now);
    const admitted = this.#hasWindowRoom(row, id, req, now) &&
      this.#isAdmitted(row.credit, req);
    if (!admitted) {
      row.credit = Math.min(1, row.credit);
      return false;
    }
    row.credit -= 1;
    row.sent++;
    row.window.add(1, now);
    row.ownWindow.add(1, now);
    return true;
  }

  /** The current inputs and result of decisions on an endpoint's requests. */
  state(id: EndpointId, req: LimitedRequest, now: number): LimitState {
    const row = this.#rowOf(id, now);
    const { shares } = this.#demand;
    return {
      demandPerS: this.#demandPerS(row, id, now),
      fraction: this.#admitFraction(row, id, req, now),
      windowSent: row.window.sum(now),
      ownWindowSent: row.ownWindow.sum(now),
      sent: row.sent,
      reporting: shares.reporting,
      reserved: shares.reserved(id),
    };
  }

  /**
   * This instance's report. An endpoint stays in it once a request was sent to
   * it: if it were left out, its next count would be a new baseline.
   */
  uses(): Map<RateLimitId, RateUse> {
    const uses = new Map<RateLimitId, RateUse>();
    for (const [id, { sent }] of this.#rows) {
      const perS = this.#demand.shares.ownPerS(id);
      if (perS > 0 || sent > 0) {
        uses.set(id, { perS, admitted: sent, level: 0 });
      }
    }
    return uses;
  }

  /** Applies a report of another instance or group. */
  applyReport(
    { instance, start }: Reporter,
    uses: ReadonlyMap<RateLimitId, RateUse>,
    now: number,
  ): void {
    for (const [id, { reports, window }] of this.#rows) {
      const use = uses.get(id);
      const before = reports.get(instance);
      const sent = use?.admitted ?? 0;
      reports.set(instance, { start, sent });
      // A first report is the baseline: its sends may be older than the window.
      if (before === undefined) continue;
      const isContinued = before.start === start && sent >= before.sent;
      window.add(sent - (isContinued ? before.sent : 0), now);
    }
  }

  /** Marks a group as unreachable: its next report is a new baseline. */
  markUnreachable(group: InstanceId): void {
    for (const { reports } of this.#rows.values()) reports.delete(group);
  }

  /** Removes an endpoint that has ended or has no limit any more. */
  remove(id: EndpointId): void {
    this.#rows.delete(id);
  }

  /** Whether recent sends leave room in the window for one more. */
  #hasWindowRoom(
    row: LimitRow,
    id: EndpointId,
    { ratePerS }: LimitedRequest,
    now: number,
  ): boolean {
    const { shares } = this.#demand;
    const perWindow = this.#usedPerS(ratePerS) * WINDOW_MS / MS_PER_S;
    const reachablePerWindow = perWindow * (1 - shares.reserved(id));
    if (row.window.sum(now) >= reachablePerWindow + WINDOW_SLACK) return false;
    // Bounds what is sent before peers report a rise in demand.
    const own = perWindow * shares.own(id) * OWN_OVERSHOOT;
    if (row.ownWindow.sum(now) >= own + WINDOW_SLACK) return false;
    const { sends } = this.#unreported(row, id, ratePerS, now);
    return row.ownWindow.sumSince(this.#unreportedMs, now) < sends;
  }

  /** Time in which the others do not learn of a send. */
  get #unreportedMs(): number {
    return Math.min(WINDOW_MS, unreportedMs(this.#gossipDelayMs()));
  }

  /** What this instance may send before reports show it. */
  #unreported(
    row: LimitRow,
    id: EndpointId,
    ratePerS: number,
    now: number,
  ): UnreportedBound {
    const perWindow = ratePerS * WINDOW_MS / MS_PER_S * TOLERATED_FACTOR;
    const reachable = this.#demand.reachableFraction(id);
    const tolerated = (perWindow + TOLERATED_SLACK) * TOLERANCE_IN_USE *
      reachable;
    const delayMs = this.#unreportedMs;
    const remaining = row.window.sum(now) * (1 - delayMs / WINDOW_MS);
    const { shares } = this.#demand;
    return boundUnreported({
      left: tolerated - remaining,
      share: Math.min(1, shares.own(id) / reachable),
      instances: Math.max(1, shares.reporting),
      requests: Math.max(MIN_PER_S, ratePerS) * MAX_DEMAND * delayMs /
        MS_PER_S,
    });
  }

  /** Fraction of the requests for an endpoint to admit. */
  #admitFraction(
    row: LimitRow,
    id: EndpointId,
    { ratePerS }: LimitedRequest,
    now: number,
  ): number {
    const usedPerS = this.#usedPerS(ratePerS);
    if (!this.#hasView) return this.#equalFraction(id, usedPerS, now);
    const { fraction } = this.#unreported(row, id, ratePerS, now);
    const demandPerS = this.#demandPerS(row, id, now);
    if (demandPerS <= 0) return fraction;
    // The window counts only reachable instances, so it is held to their part.
    const reachablePerS = usedPerS * this.#demand.reachableFraction(id);
    const perWindow = reachablePerS * WINDOW_MS / MS_PER_S;
    const utilization = row.window.sum(now) / perWindow;
    const feedback = Math.max(0, FEEDBACK_BASE - FEEDBACK_GAIN * utilization);
    return Math.min(fraction, usedPerS * feedback / demandPerS);
  }

  /** Whether the reports cover enough of the fleet to decide by them. */
  get #hasView(): boolean {
    return this.#isFleetKnown() &&
      this.#demand.shares.coverage >= MIN_COVERAGE;
  }

  /** Fraction that keeps this instance within an equal part of the limit. */
  #equalFraction(id: EndpointId, usedPerS: number, now: number): number {
    const localPerS = Math.max(
      MIN_LOCAL_PER_S,
      this.#demand.localPerS(id, now),
    );
    return Math.min(1, usedPerS / (this.#instances * localPerS));
  }

  /**
   * The fleet's demand: the reported one, or the baseline times the growth here
   * if that is more, as local growth shows before peers report theirs.
   */
  #demandPerS(row: LimitRow, id: EndpointId, now: number): number {
    const reportedPerS = this.#demand.fleetPerS(id, now);
    const decay = Math.exp(
      Math.min(0, row.baselineAt - now) / BASELINE_TIME_CONSTANT_MS,
    );
    row.baselinePerS = row.baselinePerS * decay + reportedPerS * (1 - decay);
    row.baselineAt = now;
    return Math.max(reportedPerS, row.baselinePerS * this.#demand.growth(now));
  }

  /**
   * Whether a request may be sent for this credit. What all instances send in
   * advance is held to the slack of a window, whatever the size of the fleet.
   */
  #isAdmitted(credit: number, { rank }: LimitedRequest): boolean {
    if (rank !== 0) return credit >= 1;
    const inAdvance = TOLERATED_SLACK / this.#instances;
    return credit >= 1 - Math.min(URGENT_CREDIT, inAdvance);
  }

  get #instances(): number {
    return this.#isFleetKnown() ? this.#demand.fleetSize : MAX_FLEET_SIZE;
  }

  #usedPerS(ratePerS: number): number {
    const reserve = Math.min(
      MAX_RESERVE,
      RESERVE_PER_S * this.#gossipDelayMs() / MS_PER_S,
    );
    return Math.max(MIN_PER_S, ratePerS * (1 - reserve));
  }

  #rowOf(id: EndpointId, now: number): LimitRow {
    const known = this.#rows.get(id);
    if (known !== undefined) return known;
    const row = newLimitRow(hashFraction(`${this.#own} ${id}`), now);
    this.#rows.set(id, row);
    return row;
  }
}
