/**
 * Token bucket.
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
 * Token bucket that refills at a steady rate up to a burst.
 *
 * A new bucket is empty by default: a share that moves to another instance must
 * not grant the burst a second time.
 */
export class TokenBucket {
  #size: BucketSize;
  #tokens: number;
  #refilledAt: number;

  constructor(size: BucketSize, now: number, tokens = 0) {
    this.#size = size;
    this.#tokens = Math.min(tokens, size.burst);
    this.#refilledAt = now;
  }

  /** Takes `count` tokens if that many are available. */
  take(now: number, count = 1): boolean {
    this.#refill(now);
    if (this.#tokens < count) return false;
    this.#tokens -= count;
    return true;
  }

  /** Milliseconds until `count` tokens are available; infinite if never. */
  waitMs(now: number, count = 1): number {
    this.#refill(now);
    if (this.#size.burst < count) return Infinity;
    const missing = count - this.#tokens;
    return missing <= 0 ? 0 : missing / this.#size.ratePerS * MS_PER_S;
  }

  /** Removes up to `count` tokens and returns how many it removed. */
  remove(now: number, count: number): number {
    this.#refill(now);
    const removed = Math.max(0, Math.min(this.#tokens, count));
    this.#tokens -= removed;
    return removed;
  }

  /** Adds tokens that were removed from another bucket, up to the burst. */
  add(now: number, count: number): void {
    this.#refill(now);
    this.#tokens = Math.min(this.#size.burst, this.#tokens + count);
  }

  /** Changes rate and burst; tokens above the new burst are dropped. */
  resize(size: BucketSize, now: number): void {
    this.#refill(now);
    this.#size = size;
    this.#tokens = Math.min(this.#tokens, size.burst);
  }

  /** Available tokens. */
  tokens(now: number): number {
    this.#refill(now);
    return this.#tokens;
  }

  #refill(now: number): void {
    const elapsed = Math.max(0, now - this.#refilledAt);
    this.#refilledAt = Math.max(now, this.#refilledAt);
    const gained = elapsed / MS_PER_S * this.#size.ratePerS;
    this.#tokens = Math.min(this.#size.burst, this.#tokens + gained);
  }
}
