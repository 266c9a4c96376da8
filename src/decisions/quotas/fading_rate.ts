/**
 * An exponentially weighted rate of events.
 *
 * @module
 */

const MS_PER_S = 1_000;

/** Counts events, the older ones less. */
export class FadingRate {
  readonly #memoryMs: number;
  #perS = 0;
  #at = 0;

  /** @param memoryMs After this long an event counts for 1/e of a new one. */
  constructor(memoryMs: number) {
    this.#memoryMs = memoryMs;
  }

  /** Counts one event. */
  add(now: number): void {
    this.#perS = this.perS(now) + MS_PER_S / this.#memoryMs;
    this.#at = now;
  }

  /** Events a second. */
  perS(now: number): number {
    return this.#perS * Math.exp(-Math.max(0, now - this.#at) / this.#memoryMs);
  }
}
