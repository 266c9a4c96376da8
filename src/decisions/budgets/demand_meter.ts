/**
 * How much the callers of this instance ask for, as a moving average.
 *
 * @module
 */

const MS_PER_S = 1_000;

/**
 * Time constant, in milliseconds. Shorter takes chance for demand, and parts
 * that move for nothing are of use to nobody on the way; longer follows callers
 * late, while their requests live on single tokens from elsewhere.
 */
export const DEMAND_WINDOW_MS = 700;

/** Counts attempts and averages them over time. */
export class DemandMeter {
  #perS = 0;
  #count = 0;
  #rolledAt: number;
  #lastAt = -Infinity;

  constructor(now: number) {
    this.#rolledAt = now;
  }

  /** When the last attempt was. */
  get lastAt(): number {
    return this.#lastAt;
  }

  /** Counts one attempt. */
  hit(now: number): void {
    this.#count += 1;
    this.#lastAt = now;
  }

  /** Takes what was counted since the last roll into the average. */
  roll(now: number): void {
    const elapsed = now - this.#rolledAt;
    if (elapsed <= 0) return;
    const weight = Math.exp(-elapsed / DEMAND_WINDOW_MS);
    const recent = this.#count * MS_PER_S / elapsed;
    this.#perS = this.#perS * weight + recent * (1 - weight);
    this.#count = 0;
    this.#rolledAt = now;
  }

  /** Attempts a second, as of the last roll. */
  get perS(): number {
    return this.#perS;
  }
}
