/**
 * Chooses the Retry-After of refused requests.
 *
 * Load: a client account that sends several times its rate. With the same short
 * Retry-After, all refused callers retry together, find one token and are
 * refused again, with a retry spent. Here each gets a different time, spaced as
 * capacity becomes available, so that a retry succeeds unless new requests took
 * the capacity.
 *
 * @module
 */

/** Retry-After values of one account or service. */
export class RetryAfterSchedule {
  readonly #maxMs: number;
  #lastAt = -Infinity;

  constructor(maxMs: number) {
    this.#maxMs = maxMs;
  }

  /**
   * The next Retry-After, in milliseconds.
   *
   * @param firstMs Time until capacity is first available.
   * @param everyMs Interval at which more becomes available.
   *
   * @example
   * ```ts
   * const retryAfterMs = schedule.next(now, 40, 100);
   * ```
   */
  next(now: number, firstMs: number, everyMs: number): number {
    const at = Math.max(now + firstMs, this.#lastAt + everyMs);
    if (at - now > this.#maxMs) return this.#maxMs;
    this.#lastAt = at;
    return at - now;
  }
}
