/**
 * Sliding-window counter of the requests that the fleet has admitted.
 *
 * @module
 */

/** Intervals that a window is divided into. */
const INTERVALS = 50;

/** Counts over a window that advances by one interval at a time. */
export class SlidingWindowCounter {
  readonly #intervalMs: number;
  readonly #counts = new Float64Array(INTERVALS + 1);
  #interval: number;
  #sum = 0;

  constructor(windowMs: number, now: number) {
    this.#intervalMs = windowMs / INTERVALS;
    this.#interval = this.#intervalAt(now);
  }

  /** Requests within the window. */
  sum(now: number): number {
    this.#advance(now);
    return this.#sum;
  }

  /** Requests within the last `sinceMs`, in whole intervals. */
  sumSince(sinceMs: number, now: number): number {
    this.#advance(now);
    let sum = 0;
    const intervals = Math.min(INTERVALS, sinceMs / this.#intervalMs);
    for (let ago = 0; ago < intervals; ago++) {
      sum += this.#counts[this.#index(this.#interval - ago)] ?? 0;
    }
    return sum;
  }

  /** Counts requests admitted at `now`. */
  add(n: number, now: number): void {
    this.#advance(now);
    const i = this.#interval % this.#counts.length;
    this.#counts[i] = (this.#counts[i] ?? 0) + n;
    this.#sum += n;
  }

  /**
   * Replaces all counts by `n` requests spread evenly over the window, less
   * those of the last `sinceMs`.
   */
  assume(n: number, sinceMs: number, now: number): void {
    this.#advance(now);
    this.#counts.fill(0);
    const firstAgo = Math.min(
      INTERVALS,
      Math.floor(sinceMs / this.#intervalMs),
    );
    this.#sum = 0;
    for (let ago = firstAgo; ago <= INTERVALS; ago++) {
      const i = this.#index(this.#interval - ago);
      this.#counts[i] = n / (INTERVALS + 1);
      this.#sum += n / (INTERVALS + 1);
    }
  }

  /** Multiplies all counts but those that `own` holds by a factor. */
  scaleOthers(
    own: SlidingWindowCounter | undefined,
    factor: number,
    now: number,
  ): void {
    this.#advance(now);
    if (own !== undefined) own.#advance(now);
    const ownCounts = own === undefined ? [] : own.#counts;
    this.#sum = 0;
    for (const [i, n] of this.#counts.entries()) {
      const kept = Math.min(n, ownCounts[i] ?? 0);
      const count = kept + (n - kept) * factor;
      this.#counts[i] = count;
      this.#sum += count;
    }
  }

  /** Counts `n` requests spread evenly over the window. */
  addEvenly(n: number, now: number): void {
    this.#advance(now);
    for (const [i, count] of this.#counts.entries()) {
      this.#counts[i] = count + n / (INTERVALS + 1);
    }
    this.#sum += n;
  }

  #advance(now: number): void {
    const interval = this.#intervalAt(now);
    const steps = Math.min(this.#counts.length, interval - this.#interval);
    for (let step = 1; step <= steps; step++) {
      const i = this.#index(interval - steps + step);
      this.#sum -= this.#counts[i] ?? 0;
      this.#counts[i] = 0;
    }
    this.#interval = Math.max(this.#interval, interval);
  }

  #intervalAt(now: number): number {
    return Math.floor(now / this.#intervalMs);
  }

  #index(interval: number): number {
    const n = this.#counts.length;
    return ((interval % n) + n) % n;
  }
}
