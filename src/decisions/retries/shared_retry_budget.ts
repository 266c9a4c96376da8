/**
 * How many second sends an instance may make, as its part of a budget that all
 * instances share.
 *
 * Answers a service that fails as a whole: were every failed request sent a
 * second time, the service would get twice its load just then. The fleet's
 * budget over a sliding window is a part of the requests plus a fixed number;
 * each instance spends its part of both by its own count, so the sum holds with
 * instances in touch or not.
 *
 * @module
 */
import type { ServiceId } from "../../core/mod.ts";

/** The fleet's budget for a service. */
export interface RetryAllowance {
  /** Second sends for each request of the window. */
  readonly ratio: number;
  /** Second sends on top of that, over the whole fleet. */
  readonly slack: number;
  readonly windowMs: number;
}

/**
 * Part of the budget that is used. Requests counted here just before the window
 * ends may arrive in the next one, and an instance that starts anew forgets
 * what it spent.
 */
const USED_PART = 0.8;
/** Steps of the window: what is forgotten at once is one step's count. */
const STEPS = 10;

interface Step {
  readonly index: number;
  requests: number;
  repeats: number;
}

/** Requests and second sends of one service in the sliding window. */
class SlidingCounts {
  readonly #stepMs: number;
  #steps: Step[] = [];

  constructor(windowMs: number) {
    this.#stepMs = windowMs / STEPS;
  }

  at(now: number): Step {
    const index = Math.floor(now / this.#stepMs);
    const last = this.#steps.at(-1);
    if (last?.index === index) return last;
    const step = { index, requests: 0, repeats: 0 };
    this.#steps = this.#steps.filter((s) => s.index > index - STEPS - 1);
    this.#steps.push(step);
    return step;
  }

  sum(now: number): { requests: number; repeats: number } {
    this.at(now);
    let requests = 0;
    let repeats = 0;
    for (const step of this.#steps) {
      requests += step.requests;
      repeats += step.repeats;
    }
    return { requests, repeats };
  }
}

/** Second sends of one instance by service. */
export class SharedRetryBudget {
  #allowance: RetryAllowance;
  readonly #counts = new Map<ServiceId, SlidingCounts>();

  constructor(allowance: RetryAllowance) {
    this.#allowance = allowance;
  }

  /** Takes over a new budget; what was spent stays spent. */
  setAllowance(allowance: RetryAllowance): void {
    if (allowance.windowMs !== this.#allowance.windowMs) this.#counts.clear();
    this.#allowance = allowance;
  }

  /** Counts a request of a caller. */
  request(service: ServiceId, now: number): void {
    this.#of(service).at(now).requests++;
  }

  /**
   * Spends a second send if the instance's part has one left.
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
    const counts = this.#of(service);
    const { requests, repeats } = counts.sum(now);
    const { ratio, slack } = this.#allowance;
    const part = requests * ratio + slack / Math.max(1, fleet.instances);
    if (repeats + 1 > part * USED_PART) return false;
    counts.at(now).repeats++;
    return true;
  }

  #of(service: ServiceId): SlidingCounts {
    const known = this.#counts.get(service);
    if (known !== undefined) return known;
    const fresh = new SlidingCounts(this.#allowance.windowMs);
    this.#counts.set(service, fresh);
    return fresh;
  }
}
