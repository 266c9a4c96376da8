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
 * Feedback from the recent sends of the fleet corrects the fraction. Until they
 * are reported, what all may send is bounded whatever demand does: the credit
 * that each instance adds meanwhile is a share of what a window has left.
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
import { creditBound } from "./credit_bound.ts";
import {
  limitOver,
  type LimitRow,
  newLimitRow,
  WINDOW_MS,
} from "./limit_row.ts";
import type {
  LimitedRequest,
  LimitState,
  RequestCredit,
} from "./limit_state.ts";

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
/** Time constant of the demand that instances report, and one tick. */
const AVERAGED_MS = 1_250;
/**
 * The limit is multiplied by `FEEDBACK_BASE`, less `FEEDBACK_GAIN` times the
 * window's utilization: by one at full utilization, by more below it.
 */
const FEEDBACK_BASE = 1.5;
const FEEDBACK_GAIN = 0.5;
/**
 * Minimum rate in requests a second: a change of the limit shows only in
 * responses, so some requests have to be sent.
 */
const MIN_PER_S = 0.25;
/** Credit in advance for requests of rank 0 at one instance, at most. */
const URGENT_CREDIT = 0.5;
/** Time constant of the fleet's baseline demand. */
const BASELINE_TIME_CONSTANT_MS = 3_000;
const MS_PER_S = 1_000;

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
    return this.#creditFor(row, id, req, now)?.isEnough ?? false;
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
    row.share.recordRequest(now);
    const credit = this.#creditFor(row, id, req, now);
    // Credit that grew meanwhile would be spent by all instances at once.
    if (credit === undefined) return false;
    row.credit += credit.added;
    row.accrued.add(credit.added, now);
    if (!credit.isEnough) return false;
    row.accrued.add(credit.borrowed, now);
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
    const ratePerS = limitOver(row, req, now);
    return {
      demandPerS: this.#demandPerS(row, id, now),
      fraction: this.#admitFraction(row, id, ratePerS, now),
      creditLeft: this.#creditLeft(row, id, ratePerS, now),
      windowSent: row.window.sum(now),
      ownWindowSent: row.ownWindow.sum(now),
      sent: row.sent,
      reporting: shares.reporting,
      reserved: shares.reserved(id),
    };
  }

  /** Updates this instance's shares; runs once a tick, before the report. */
  tick(now: number): void {
    const reportedAfterMs = this.#unreportedMs + AVERAGED_MS;
    for (const [id, { share }] of this.#rows) {
      const fleetPerS = this.#demand.shares.reachablePerS(id);
      share.tick({ fleetPerS, reportedAfterMs }, now);
    }
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

  /** The credit that a request adds and borrows; undefined in a full window. */
  #creditFor(
    row: LimitRow,
    id: EndpointId,
    req: LimitedRequest,
    now: number,
  ): RequestCredit | undefined {
    const ratePerS = limitOver(row, req, now);
    if (!this.#hasWindowRoom(row, id, ratePerS, now)) return undefined;
    const left = this.#creditLeft(row, id, ratePerS, now);
    const fraction = this.#admitFraction(row, id, ratePerS, now);
    const added = Math.min(left, fraction);
    const borrowed = this.#missingCredit(row.credit + added, req);
    return { added, borrowed, isEnough: borrowed <= left - added };
  }

  /** Whether recent sends leave room in the window for one more. */
  #hasWindowRoom(
    row: LimitRow,
    id: EndpointId,
    ratePerS: number,
    now: number,
  ): boolean {
    const perWindow = pacedPerS(ratePerS) * WINDOW_MS / MS_PER_S;
    const reachablePerWindow = perWindow * this.#demand.reachableFraction(id);
    return row.window.sum(now) < reachablePerWindow + WINDOW_SLACK;
  }

  /** Credit that may still be added before others learn what it is spent on. */
  #creditLeft(
    row: LimitRow,
    id: EndpointId,
    ratePerS: number,
    now: number,
  ): number {
    const perWindow = ratePerS * WINDOW_MS / MS_PER_S * TOLERATED_FACTOR +
      TOLERATED_SLACK;
    const instances = this.#reachableInstances;
    const sends = perWindow * this.#demand.reachableFraction(id) -
      row.window.sum(now);
    const bound = creditBound({ sends, instances }) *
      row.share.among(instances);
    const added = row.accrued.sumSince(this.#unreportedMs, now);
    return Math.max(0, bound - added);
  }

  /** Time in which the others do not learn of a send. */
  get #unreportedMs(): number {
    if (!this.#hasView) return WINDOW_MS;
    return Math.min(WINDOW_MS, unreportedMs(this.#gossipDelayMs()));
  }

  /** Fraction of the requests for an endpoint to admit. */
  #admitFraction(
    row: LimitRow,
    id: EndpointId,
    ratePerS: number,
    now: number,
  ): number {
    const pacePerS = pacedPerS(ratePerS);
    if (!this.#hasView) return this.#equalFraction(id, pacePerS, now);
    const demandPerS = this.#demandPerS(row, id, now);
    if (demandPerS <= 0) return 1;
    // The window counts only reachable instances, so it is held to their part.
    const reachablePerS = pacePerS * this.#demand.reachableFraction(id);
    const perWindow = reachablePerS * WINDOW_MS / MS_PER_S;
    const utilization = row.window.sum(now) / perWindow;
    const feedback = Math.max(0, FEEDBACK_BASE - FEEDBACK_GAIN * utilization);
    return Math.min(1, pacePerS * feedback / demandPerS);
  }

  /** Whether the reports cover enough of the fleet to decide by them. */
  get #hasView(): boolean {
    return this.#isFleetKnown() &&
      this.#demand.shares.coverage >= MIN_COVERAGE;
  }

  /** Fraction that keeps this instance within an equal part of the limit. */
  #equalFraction(id: EndpointId, pacePerS: number, now: number): number {
    const localPerS = Math.max(
      MIN_LOCAL_PER_S,
      this.#demand.localPerS(id, now),
    );
    return Math.min(1, pacePerS / (this.#instances * localPerS));
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
   * Credit that a request has to borrow to be sent; infinite if it may not. What
   * requests of rank 0 borrow at all instances is bounded, whatever the size of
   * the fleet.
   */
  #missingCredit(credit: number, { rank }: LimitedRequest): number {
    const missing = Math.max(0, 1 - credit);
    if (rank !== 0) return missing === 0 ? 0 : Infinity;
    const inAdvance = TOLERATED_SLACK / this.#instances;
    return missing <= Math.min(URGENT_CREDIT, inAdvance) ? missing : Infinity;
  }

  get #instances(): number {
    return this.#isFleetKnown() ? this.#demand.fleetSize : MAX_FLEET_SIZE;
  }

  /** Reachable instances, those without a report included. */
  get #reachableInstances(): number {
    if (!this.#isFleetKnown()) return MAX_FLEET_SIZE;
    return this.#demand.shares.reachable;
  }

  #rowOf(id: EndpointId, now: number): LimitRow {
    const known = this.#rows.get(id);
    if (known !== undefined) return known;
    const row = newLimitRow(hashFraction(`${this.#own} ${id}`), now);
    this.#rows.set(id, row);
    return row;
  }
}

/** The rate at which all instances together send, in requests a second. */
function pacedPerS(ratePerS: number): number {
  return Math.max(MIN_PER_S, ratePerS);
}
