/**
 * Checks that a service gets no more repeats than the fleet's retry budget.
 *
 * @module
 */

import type { RetryAllowance } from "../../src/decisions/retries/mod.ts";
import {
  countBetween,
  maxRetriesIn,
} from "../../src/decisions/retries/testing/budget_window.ts";

/** The budget in the settings of the soak's instances. */
export const SOAK_ALLOWANCE: RetryAllowance = {
  ratio: 0.2,
  slack: 20,
  windowMs: 10_000,
};

/** Counts the requests for one service, and their arrivals beyond the first. */
export class RepeatChecker {
  readonly #onViolation: (request: string) => void;
  readonly #sentAt: number[] = [];
  readonly #arrived = new Set<string>();
  readonly #repeatsAt: number[] = [];
  #fullest = 0;

  constructor(onViolation: (request: string) => void) {
    this.#onViolation = onViolation;
  }

  /** Fullest window, as a fraction of the repeats that it may hold. */
  get fullest(): number {
    return this.#fullest;
  }

  /**
   * Records that a caller sends a request, whether it arrives or not.
   *
   * @param now Milliseconds, whole.
   */
  sent(now: number): void {
    this.#sentAt.push(now);
  }

  /**
   * Checks a request that arrives at an endpoint of the service.
   *
   * @param now Milliseconds, whole.
   */
  arrived(request: string, now: number): void {
    if (!this.#arrived.has(request)) {
      this.#arrived.add(request);
      return;
    }
    this.#repeatsAt.push(now);
    const end = now + 1;
    const from = end - SOAK_ALLOWANCE.windowMs;
    const fullness = countBetween(this.#repeatsAt, from, end) /
      maxRetriesIn(this.#sentAt, from, SOAK_ALLOWANCE);
    this.#fullest = Math.max(this.#fullest, fullness);
    if (fullness > 1) this.#onViolation(request);
  }
}
