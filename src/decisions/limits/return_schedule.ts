/**
 * When refused callers are told to come back.
 *
 * The load it answers: a client account that sends several times its rate. Told
 * the same short time, all that were refused come back together, find one token
 * and are refused again, with the retry they had spent. Here each is told a
 * time of its own, as far apart as room is made, so that who comes back finds
 * room unless others came in between.
 *
 * @module
 */

/** Times handed out for one account or service. */
export class ReturnSchedule {
  readonly #longestMs: number;
  #lastAt = -Infinity;

  /** @param longestMs The longest that a caller is told to stay away. */
  constructor(longestMs: number) {
    this.#longestMs = longestMs;
  }

  /**
   * The next time to come back, in milliseconds from now.
   *
   * @param firstMs When the first room is expected.
   * @param everyMs How often room is made.
   *
   * @example
   * ```ts
   * const retryAfterMs = schedule.next(now, 40, 100);
   * ```
   */
  next(now: number, firstMs: number, everyMs: number): number {
    const at = Math.max(now + firstMs, this.#lastAt + everyMs);
    if (at - now > this.#longestMs) return this.#longestMs;
    this.#lastAt = at;
    return at - now;
  }
}
