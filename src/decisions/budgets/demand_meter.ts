/**
 * The demand of this instance's callers, as an exponential moving average.
 *
 * @module
 */

const MS_PER_S = 1_000;

/**
 * Time constant, in milliseconds. A shorter one takes noise for demand and
 * moves shares needlessly, which are unusable in transit; a longer one lags
 * behind moved callers, whose requests then need single borrowed tokens.
 */
export const DEMAND_TIME_CONSTANT_MS = 700;

/** Counts attempts and averages them over time. */
export class DemandMeter {
  #perS = 0;
  #count = 0;
  #updatedAt: number;
  #lastAttemptAt = -Infinity;

  constructor(now: number) {
    this.#updatedAt = now;
  }

  /** Time of the last attempt. */
  get lastAttemptAt(): number {
    return this.#lastAttemptAt;
  }

  /** Counts one attempt. */
  countAttempt(now: number): void {
    this.#count += 1;
    this.#lastAttemptAt = now;
  }

  /** Folds the attempts since the last update into the average. */
  update(now: number): void {
    const elapsed = now - this.#updatedAt;
    if (elapsed <= 0) return;
    const weight = Math.exp(-elapsed / DEMAND_TIME_CONSTANT_MS);
    const recent = this.#count * MS_PER_S / elapsed;
    this.#perS = this.#perS * weight + recent * (1 - weight);
    this.#count = 0;
    this.#updatedAt = now;
  }

  /** Attempts per second, as of the last update. */
  get perS(): number {
    return this.#perS;
  }
}
