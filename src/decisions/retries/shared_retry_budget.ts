/**
 * Limits an instance's retries to its part of a budget that the fleet shares.
 *
 * Load: a service that fails as a whole. If every failed request were sent a
 * second time, the service would get twice its load. The fleet's budget over a
 * sliding window is a ratio of the requests plus a fixed number.
 *
 * An instance earns credit with each request of a caller and, for its equal part
 * of the fixed number, with time. It starts without any, and credit expires. So
 * the fleet spends in no window more than was earned in it and in the one before,
 * however demand varies, whichever instances restart or are partitioned, and
 * wherever callers move.
 *
 * @module
 */
import type { ServiceId } from "../../core/mod.ts";

/** The fleet's budget for a service. */
export interface RetryAllowance {
  /** Retries per request in the window. */
  readonly ratio: number;
  /** Additional retries in the window, over the whole fleet. */
  readonly slack: number;
  readonly windowMs: number;
}

/** The fleet that shares the budget. */
export interface BudgetFleet {
  /** Instances, this one included. */
  readonly instances: number;
  /** Whether that number is known; the fixed part is not earned until then. */
  readonly isSizeKnown: boolean;
}

/** Credit that a service has earned at an instance, in retries. */
export interface EarnedCredit {
  readonly byRequests: number;
  /** The part of the fixed number. */
  readonly overTime: number;
}

/**
 * How long credit can be spent, as a fraction of the window. The rest of the
 * window is left for retries that arrive late.
 */
const CREDIT_LIFE = 0.6;
/**
 * Fraction of the budget that is earned. The retries of a window were earned in
 * it and in the one before, each of which may have had the most requests.
 */
const EARNED_FRACTION = 0.5;
/** Credit expires one interval of its life at a time. */
const INTERVALS = 10;

/** Credit that lacks no more than this counts as a whole retry. */
const ROUNDING_ERROR = 1e-9;

/** Credit that was earned in one interval and is not spent. */
interface Interval {
  index: number;
  credit: number;
}

/** The credit of one service, in retries. */
class ServiceCredit {
  readonly #intervalMs: number;
  /** The last intervals; that of an index is at `index % INTERVALS`. */
  readonly #intervals: Interval[] = Array.from(
    { length: INTERVALS },
    () => ({ index: -1, credit: 0 }),
  );
  /** Until when the fixed part was earned. */
  #fixedUntil: number;
  /** What the fixed part earned per millisecond when it was last added. */
  #fixedPerMs: number | undefined;
  #byRequests: number;
  #overTime: number;

  /** @param earned Credit that was earned, and lost, before. */
  constructor(
    windowMs: number,
    earningSince: number,
    earned: EarnedCredit = { byRequests: 0, overTime: 0 },
  ) {
    this.#intervalMs = windowMs * CREDIT_LIFE / INTERVALS;
    this.#fixedUntil = earningSince;
    this.#byRequests = earned.byRequests;
    this.#overTime = earned.overTime;
  }

  /** Credit that was earned, spent or not. */
  get earned(): EarnedCredit {
    return { byRequests: this.#byRequests, overTime: this.#overTime };
  }

  /** Adds credit for a request. */
  earnByRequest(credit: number, now: number): void {
    this.#byRequests += credit;
    this.#earn(credit, now);
  }

  /** Adds credit that was earned at a time. */
  #earn(credit: number, at: number): void {
    const index = this.#indexAt(at);
    const interval = this.#intervals[index % INTERVALS]!;
    if (interval.index !== index) Object.assign(interval, { index, credit: 0 });
    interval.credit += credit;
  }

  /**
   * Adds the fixed part of the time since the last call, by the larger of the
   * fleet sizes that were known at its start and end.
   */
  earnOverTime(fixedPerMs: number, now: number): void {
    const creditPerMs = Math.min(fixedPerMs, this.#fixedPerMs ?? fixedPerMs);
    this.#fixedPerMs = fixedPerMs;
    // What was earned before would have expired.
    const oldestStart = this.#oldestIndex(now) * this.#intervalMs;
    let from = Math.max(this.#fixedUntil, oldestStart);
    this.#fixedUntil = now;
    while (creditPerMs > 0 && from < now) {
      const next = (this.#indexAt(from) + 1) * this.#intervalMs;
      const to = Math.min(next, now);
      const credit = (to - from) * creditPerMs;
      this.#overTime += credit;
      this.#earn(credit, from);
      from = to;
    }
  }

  /** Whole retries whose credit has not expired. */
  available(now: number): number {
    const oldest = this.#oldestIndex(now);
    let sum = 0;
    for (const { index, credit } of this.#intervals) {
      if (index >= oldest) sum += credit;
    }
    return Math.floor(sum + ROUNDING_ERROR);
  }

  /** Spends the credit that expires first, if there is enough for a retry. */
  spend(now: number): boolean {
    if (this.available(now) < 1) return false;
    const oldest = this.#oldestIndex(now);
    let owed = 1;
    for (let i = 0; i < INTERVALS; i++) {
      const interval = this.#intervals[(oldest + i) % INTERVALS]!;
      if (interval.index !== oldest + i) continue;
      const spent = Math.min(interval.credit, owed);
      interval.credit -= spent;
      owed -= spent;
    }
    return true;
  }

  /** The first interval whose credit has not expired. */
  #oldestIndex(now: number): number {
    return Math.max(0, this.#indexAt(now) - INTERVALS + 1);
  }

  #indexAt(at: number): number {
    return Math.floor(at / this.#intervalMs);
  }
}

/** Retry budgets of one instance, by service. */
export class SharedRetryBudget {
  #allowance: RetryAllowance;
  #earningSince: number;
  readonly #credits = new Map<ServiceId, ServiceCredit>();

  /** @param startedAt When the instance started, on its clock. */
  constructor(allowance: RetryAllowance, startedAt: number) {
    this.#allowance = allowance;
    this.#earningSince = startedAt;
  }

  /**
   * Applies a new budget to what is earned from now on. With another window or a
   * lower budget all credit is lost, as after a start.
   */
  setAllowance(allowance: RetryAllowance, now: number): void {
    const { ratio, slack, windowMs } = this.#allowance;
    const isLower = allowance.ratio < ratio || allowance.slack < slack;
    if (isLower || allowance.windowMs !== windowMs) {
      this.#loseCredit(allowance.windowMs, now);
    }
    this.#allowance = allowance;
  }

  #loseCredit(windowMs: number, now: number): void {
    this.#earningSince = now;
    for (const [service, { earned }] of this.#credits) {
      this.#credits.set(service, new ServiceCredit(windowMs, now, earned));
    }
  }

  /** Records a request of a caller. */
  request(service: ServiceId, now: number): void {
    const { ratio } = this.#allowance;
    this.#creditOf(service).earnByRequest(ratio * EARNED_FRACTION, now);
  }

  /**
   * Spends one retry if the instance has credit for it.
   *
   * @example
   * ```ts
   * const fleet = { instances: 12, isSizeKnown: true };
   * if (budget.take(service, fleet, now)) await sendAgain();
   * ```
   */
  take(service: ServiceId, fleet: BudgetFleet, now: number): boolean {
    return this.#creditBy(service, fleet, now).spend(now);
  }

  /** Retries that this instance could make now. */
  available(service: ServiceId, fleet: BudgetFleet, now: number): number {
    return this.#creditBy(service, fleet, now).available(now);
  }

  /** Credit that was earned since the start, spent or not. */
  earned(service: ServiceId): EarnedCredit {
    return this.#creditOf(service).earned;
  }

  /** The credit of a service, with the fixed part that was earned by now. */
  #creditBy(
    service: ServiceId,
    { instances, isSizeKnown }: BudgetFleet,
    now: number,
  ): ServiceCredit {
    const { slack, windowMs } = this.#allowance;
    const part = isSizeKnown ? slack / Math.max(1, instances) : 0;
    const credit = this.#creditOf(service);
    credit.earnOverTime(part * EARNED_FRACTION / windowMs, now);
    return credit;
  }

  #creditOf(service: ServiceId): ServiceCredit {
    const known = this.#credits.get(service);
    if (known !== undefined) return known;
    const { windowMs } = this.#allowance;
    const created = new ServiceCredit(windowMs, this.#earningSince);
    this.#credits.set(service, created);
    return created;
  }
}
