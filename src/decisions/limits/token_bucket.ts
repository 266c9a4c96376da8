/**
 * A token bucket: tokens arrive at a steady rate up to a burst.
 *
 * @module
 */

const MS_PER_S = 1_000;

/** Rate in tokens a second, burst in tokens. */
export interface BucketSize {
  readonly ratePerS: number;
  readonly burst: number;
}

/**
 * Tokens of one account at one instance.
 *
 * A new bucket is empty unless told otherwise: a share that moves must not
 * bring a second burst with it.
 */
export class TokenBucket {
  #size: BucketSize;
  #tokens: number;
  #filledAt: number;

  constructor(size: BucketSize, now: number, tokens = 0) {
    this.#size = size;
    this.#tokens = Math.min(tokens, size.burst);
    this.#filledAt = now;
  }

  /** Takes `count` tokens if there are as many. */
  take(now: number, count = 1): boolean {
    this.#fill(now);
    if (this.#tokens < count) return false;
    this.#tokens -= count;
    return true;
  }

  /** Milliseconds until `count` tokens are there; infinite if they never are. */
  waitMs(now: number, count = 1): number {
    this.#fill(now);
    if (this.#size.burst < count) return Infinity;
    const missing = count - this.#tokens;
    return missing <= 0 ? 0 : missing / this.#size.ratePerS * MS_PER_S;
  }

  /** Removes up to `count` tokens and gives how many it removed. */
  remove(now: number, count: number): number {
    this.#fill(now);
    const removed = Math.max(0, Math.min(this.#tokens, count));
    this.#tokens -= removed;
    return removed;
  }

  /** Adds tokens that another bucket has removed; none go over the burst. */
  add(now: number, count: number): void {
    this.#fill(now);
    this.#tokens = Math.min(this.#size.burst, this.#tokens + count);
  }

  /** Changes rate and burst; tokens over the new burst are dropped. */
  resize(size: BucketSize, now: number): void {
    this.#fill(now);
    this.#size = size;
    this.#tokens = Math.min(this.#tokens, size.burst);
  }

  /** Tokens at hand. */
  tokens(now: number): number {
    this.#fill(now);
    return this.#tokens;
  }

  #fill(now: number): void {
    const elapsed = Math.max(0, now - this.#filledAt);
    this.#filledAt = Math.max(now, this.#filledAt);
    const gained = elapsed / MS_PER_S * this.#size.ratePerS;
    this.#tokens = Math.min(this.#size.burst, this.#tokens + gained);
  }
}
