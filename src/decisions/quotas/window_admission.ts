/**
 * Admission by what an account's window still allows over the whole fleet.
 *
 * Load: with 80 instances most accounts have less than one request a second at
 * an instance. An instance's share of the demand is then computed from a
 * handful of requests, and a share of the remaining tokens is less than the one
 * that a request takes. All instances have about the same reports, though, so
 * each computes the same fraction of the fleet's demand that fits into the
 * window and admits that fraction of its own requests, whatever its share is.
 *
 * @module
 */

import { LocalGrowth } from "./local_growth.ts";

/** What an admission plan is computed from. */
export interface WindowState {
  /** Requests that the reachable instances may admit in a window. */
  readonly allowed: number;
  /** Requests in the window that are known to be admitted. */
  readonly spent: number;
  /** Requests admitted a second, as known for the last half second. */
  readonly recentPerS: number;
  /** Requests a second here and at the reachable peers. */
  readonly ownPerS: number;
  readonly peersPerS: number;
  /** Reachable instances, this one included. */
  readonly instances: number;
  /** Tolerated above `allowed`. */
  readonly tolerated: number;
  readonly windowMs: number;
  /** Maximum age of peers' reports. */
  readonly gossipDelayMs: number;
  /** Time since this instance started. */
  readonly ageMs: number;
  /** Time since a peer's last report. */
  readonly sinceReportMs: number;
}

/** Length of the recent interval by which growth is detected. */
export const RECENT_MS = 500;
/**
 * Time in which room that is left in the window may be used up. Shorter than
 * the delay of reports, the fraction oscillates.
 */
const ROOM_HORIZON_S = 1;
/**
 * Part of the tolerance that is in use without growth: the requests in a window
 * of a small account vary by more than a tenth of its rate.
 */
const TOLERANCE_IN_USE = 0.25;
/** Part of the tolerance up to which unreported growth may lead. */
const TOLERANCE_FOR_GROWTH = 0.5;
/**
 * Assumed maximum demand, over the window's mean rate: an account with a burst
 * of one second of its rate is at 4.2, and one with a small burst at 5, with 8 times its usual demand.
 */
const MAX_DEMAND = 5;
/**
 * Demand over the window's mean rate from which it is taken for a burst, and by
 * how much it may still grow then within the delay of reports.
 */
const BURST_DEMAND = 0.8;
const SUSTAINED_TIME_CONSTANT_MS = 2_000;
const MAX_GROWTH_IN_BURST = 1.2;
/**
 * Deviations of a Poisson count beyond which recent admissions show a higher
 * demand than the reports, whose moving average follows more slowly.
 */
const DEVIATIONS = 2;
/** Interval of peers' reports. */
const REPORT_INTERVAL_MS = 250;
/** Time constant of reported demand, and the time that it covers at least. */
const DEMAND_TIME_CONSTANT_MS = 1_000;
const MIN_AVERAGED_MS = 250;
/** Time constant of the demand with which growth at this instance compares. */
const BASELINE_TIME_CONSTANT_MS = 10_000;
/**
 * Growth at this instance from which the plan is computed again before the next
 * tick, at most once in `MIN_PLAN_INTERVAL_MS`.
 */
const REPLAN_GROWTH = 3;
const MIN_PLAN_INTERVAL_MS = 50;
const MS_PER_S = 1_000;

/** One instance's decision on the requests of one account. */
export class WindowAdmission {
  /** Fraction of the fleet's requests that all instances admit. */
  #fraction = 1;
  /** Mean fraction over the delay of reports. */
  #meanFraction = 1;
  #plannedAt: number | undefined;
  readonly #growth = new LocalGrowth();
  /** Moving averages of the fleet's reported demand, over 10 s and 2 s. */
  #baselinePerS = 0;
  #sustainedPerS = 0;
  #waitMs = 0;
  #peersAdmitPerS = 0;
  /** Credit for requests; one is admitted for each whole unit. */
  #credit: number;
  readonly #dither: number;
  /** Maximum of this instance's admissions within the delay of reports. */
  #maxUnreported = Infinity;
  /** Room of an instance without peers. */
  #ownRoom = Infinity;

  /**
   * @param dither In [0, 1), different at each instance, so that fractions of a
   * request round differently.
   */
  constructor(dither: number) {
    this.#dither = dither;
    this.#credit = dither;
  }

  /** Whether a plan has been computed. */
  get isPlanned(): boolean {
    return this.#plannedAt !== undefined;
  }

  /** Requests that peers admitted a second, as of the last plan with peers. */
  get peersAdmitPerS(): number {
    return this.#peersAdmitPerS;
  }

  /** Milliseconds until the window has room, as of the last plan. */
  get waitMs(): number {
    return this.#waitMs;
  }

  /** Counts one request, admitted or not. */
  recordRequest(now: number): void {
    this.#growth.recordRequest(now);
  }

  /** Whether demand has grown too much to wait for the next tick. */
  needsPlan(now: number): boolean {
    return now - (this.#plannedAt ?? now) >= MIN_PLAN_INTERVAL_MS &&
      this.#growth.factor(now) >= REPLAN_GROWTH;
  }

  /** Computes the fraction to admit; runs once a tick. */
  plan(state: WindowState, now: number): void {
    const { allowed, spent, windowMs, gossipDelayMs, tolerated } = state;
    const overdueMs = Math.max(0, state.sinceReportMs - REPORT_INTERVAL_MS);
    const meanAgeMs = gossipDelayMs - REPORT_INTERVAL_MS / 2 + overdueMs;
    const delayS = Math.max(0, meanAgeMs) / MS_PER_S;
    const elapsedMs = now - (this.#plannedAt ?? -Infinity);
    this.#plannedAt = now;
    const weight = Math.min(1, elapsedMs / gossipDelayMs);
    this.#meanFraction += (this.#fraction - this.#meanFraction) * weight;
    const reportedPerS = reportedDemandPerS(state);
    this.#updateBaseline(reportedPerS, elapsedMs, state.ageMs);
    const demandPerS = Math.max(
      this.#demandPerS(state),
      this.#baselinePerS * this.#growth.factor(now),
    );
    const peersPerS = Math.max(0, demandPerS - state.ownPerS);
    const unreported = peersPerS * this.#meanFraction * delayS;
    const target = allowed + tolerated * TOLERANCE_IN_USE;
    const room = target - spent - unreported;
    const perS = target * MS_PER_S / windowMs;
    const admitPerS = Math.max(0, perS + room / ROOM_HORIZON_S);
    this.#fraction = demandPerS <= admitPerS ? 1 : admitPerS / demandPerS;
    if (state.instances > 1) {
      this.#peersAdmitPerS = Math.min(peersPerS * this.#fraction, perS);
    }
    this.#waitMs = Math.max(0, -room / Math.max(1e-3, perS)) * MS_PER_S;
    this.#limitUnreported(state, perS, now);
    // Without peers all of the window is known here.
    this.#ownRoom = state.instances > 1
      ? Infinity
      : target - spent + this.#dither;
    if (state.instances <= 1) this.#fraction = 1;
  }

  #updateBaseline(
    reportedPerS: number,
    elapsedMs: number,
    ageMs: number,
  ): void {
    const averagedMs = Math.min(BASELINE_TIME_CONSTANT_MS, Math.max(1, ageMs));
    const change = 1 - Math.exp(-elapsedMs / averagedMs);
    this.#sustainedPerS += (reportedPerS - this.#sustainedPerS) *
      (1 - Math.exp(-elapsedMs / SUSTAINED_TIME_CONSTANT_MS));
    this.#baselinePerS += (reportedPerS - this.#baselinePerS) * change;
  }

  /**
   * Admits or refuses one request.
   *
   * @param unreported Requests admitted here that others may not know of yet.
   */
  take(unreported: () => number): boolean {
    this.#credit = Math.min(2, this.#credit + this.#fraction);
    if (this.#credit < 1) return false;
    if (unreported() + 1 > this.#maxUnreported) return false;
    if (this.#ownRoom < 1) return false;
    this.#ownRoom--;
    this.#credit -= 1;
    return true;
  }

  /**
   * The fleet's demand as reported, or as recent admissions show it where they
   * show growth.
   */
  #demandPerS(state: WindowState): number {
    const { recentPerS } = state;
    const reportedPerS = reportedDemandPerS(state);
    const expected = reportedPerS * this.#meanFraction * RECENT_MS / MS_PER_S;
    const recent = recentPerS * RECENT_MS / MS_PER_S;
    const random = DEVIATIONS * Math.sqrt(expected) + 1;
    const knownPerS = recent <= expected + random ? reportedPerS : Math.max(
      reportedPerS,
      recentPerS / Math.max(this.#meanFraction, MIN_FRACTION),
    );
    // Demand that rises has risen further since the reports were sent.
    const rise = knownPerS - this.#sustainedPerS;
    const noise = DEVIATIONS * Math.sqrt(knownPerS) + 1;
    return rise > noise ? knownPerS + rise : knownPerS;
  }

  /**
   * Bounds what this instance admits until others learn of it, where the demand
   * of the fleet could pass the tolerance within that time.
   */
  #limitUnreported(
    state: WindowState,
    perS: number,
    now: number,
  ): void {
    const { allowed, spent, tolerated, instances, gossipDelayMs } = state;
    const delayMs = unreportedMs(gossipDelayMs);
    // Growth that only this instance sees may have just begun.
    const demandPerS = this.#demandPerS(state);
    const mostPerS = this.#sustainedPerS > BURST_DEMAND * perS
      ? Math.min(
        MAX_DEMAND * perS,
        demandPerS * MAX_GROWTH_IN_BURST * this.#fraction,
      )
      : MAX_DEMAND * perS;
    const most = mostPerS * delayMs / MS_PER_S;
    const expiring = spent * delayMs / state.windowMs;
    const left = allowed + tolerated * TOLERANCE_FOR_GROWTH - spent + expiring;
    if (most <= left) {
      this.#maxUnreported = Infinity;
      return;
    }
    const limit = truncation(most / instances, Math.max(0, left) / instances);
    const ownPart = this.#growth.baselinePerS(now) /
      Math.max(Number.EPSILON, this.#baselinePerS);
    const weight = Math.max(1, ownPart * instances / 2);
    this.#maxUnreported = Math.floor(limit * weight + this.#dither);
  }
}

/**
 * Reported demand. After a restart of all instances the moving averages of all
 * have just begun, and state a quarter of the demand at first.
 */
function reportedDemandPerS(
  { ownPerS, peersPerS, ageMs }: WindowState,
): number {
  const averagedMs = Math.max(MIN_AVERAGED_MS, ageMs);
  const weight = 1 - Math.exp(-averagedMs / DEMAND_TIME_CONSTANT_MS);
  return (ownPerS + peersPerS) / weight;
}

/** Time in which others learn of an admission. */
export function unreportedMs(gossipDelayMs: number): number {
  return gossipDelayMs + REPORT_INTERVAL_MS;
}

/** Lower bound of a fraction that is a divisor. */
const MIN_FRACTION = 0.05;
const MAX_TRUNCATION = 100;

/**
 * Limit at which a Poisson count of this mean has the mean `truncated`,
 * interpolated between whole numbers.
 */
export function truncation(mean: number, truncated: number): number {
  let probability = Math.exp(-mean);
  let atMost = probability;
  let sum = 0;
  for (let limit = 0; limit < MAX_TRUNCATION; limit++) {
    // The mean grows by the probability of a count above the limit.
    const gain = 1 - atMost;
    if (sum + gain >= truncated) {
      return limit + (truncated - sum) / Math.max(gain, Number.EPSILON);
    }
    sum += gain;
    probability *= mean / (limit + 1);
    atMost += probability;
  }
  return MAX_TRUNCATION;
}
