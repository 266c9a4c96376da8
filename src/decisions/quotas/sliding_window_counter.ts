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
