/**
 * Limits an instance's retries to its part of a budget that the fleet shares.
 *
 * Load: a service that fails as a whole. If every failed request were sent a
 * second time, the service would get twice its load. The fleet's budget over a
 * sliding window is a ratio of the requests plus a fixed number. Each instance
 * applies the ratio to its own requests and takes an equal part of the fixed
 * number, so the sum holds under partitions too.
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

/**
 * Fraction of the budget in use. Requests counted here at the end of a window
 * may arrive in the next one, and a restarted instance loses its counts.
 */
const USED_FRACTION = 0.8;
/** Intervals of the window; counts expire one interval at a time. */
const INTERVALS = 10;

/** What a budget's decisions are based on, for logs. */
export interface RetryBudgetState {
  /** Requests of callers in the window. */
  readonly requests: number;
  /** Retries spent in the window. */
  readonly retries: number;
  /** This instance's part of the budget. */
  readonly allowed: number;
}

interface Interval {
  readonly index: number;
  requests: number;
  retries: number;
}

/** Requests and retries of one service in the sliding window. */
class SlidingWindowCounts {
  readonly #intervalMs: number;
  #intervals: Interval[] = [];

  constructor(windowMs: number) {
    this.#intervalMs = windowMs / INTERVALS;
  }

  at(now: number): Interval {
    const index = Math.floor(now / this.#intervalMs);
    const last = this.#intervals.at(-1);
    if (last?.index === index) return last;
    const interval = { index, requests: 0, retries: 0 };
    this.#intervals = this.#intervals.filter((s) =>
      s.index > index - INTERVALS - 1
    );
    this.#intervals.push(interval);
    return interval;
  }

  sum(now: number): { requests: number; retries: number } {
    this.at(now);
    let requests = 0;
    let retries = 0;
    for (const interval of this.#intervals) {
      requests += interval.requests;
      retries += interval.retries;
    }
    return { requests, retries };
  }
}

/** Retry budgets of one instance, by service. */
export class SharedRetryBudget {
  #allowance: RetryAllowance;
  readonly #counts = new Map<ServiceId, SlidingWindowCounts>();

  constructor(allowance: RetryAllowance) {
    this.#allowance = allowance;
  }

  /** Applies a new budget; resets counts only if the window length changes. */
  setAllowance(allowance: RetryAllowance): void {
    if (allowance.windowMs !== this.#allowance.windowMs) this.#counts.clear();
    this.#allowance = allowance;
  }

  /** Records a request of a caller. */
  request(service: ServiceId, now: number): void {
    this.#countsOf(service).at(now).requests++;
  }

  /**
   * Spends one retry if the instance's part of the budget has one left.
   *
   * @example
   * ```ts
   * if (budget.take(service, { instances: 12 }, now)) await sendAgain();
   * ```
   */
  take(
    service: ServiceId,
    fleet: { readonly instances: number },
    now: number,
  ): boolean {
    const { retries, allowed } = this.state(service, fleet, now);
    if (retries + 1 > allowed) return false;
    this.#countsOf(service).at(now).retries++;
    return true;
  }

  /** The counts and this instance's part of the budget. */
  state(
    service: ServiceId,
    fleet: { readonly instances: number },
    now: number,
  ): RetryBudgetState {
    const { requests, retries } = this.#countsOf(service).sum(now);
    const { ratio, slack } = this.#allowance;
    const part = requests * ratio + slack / Math.max(1, fleet.instances);
    return { requests, retries, allowed: part * USED_FRACTION };
  }

  #countsOf(service: ServiceId): SlidingWindowCounts {
    const known = this.#counts.get(service);
    if (known !== undefined) return known;
    const created = new SlidingWindowCounts(this.#allowance.windowMs);
    this.#counts.set(service, created);
    return created;
  }
}
