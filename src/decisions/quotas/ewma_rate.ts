/**
 * An exponentially weighted moving average of an event rate.
 *
 * @module
 */

const MS_PER_S = 1_000;

/** Event rate in which older events count for exponentially less. */
export class EwmaRate {
  readonly #timeConstantMs: number;
  #perS = 0;
  #updatedAt = 0;

  /** @param timeConstantMs Age at which an event has a weight of 1/e. */
  constructor(timeConstantMs: number) {
    this.#timeConstantMs = timeConstantMs;
  }

  /** Counts one event, or a part of one. */
  add(now: number, weight = 1): void {
    this.#perS = this.perS(now) + weight * MS_PER_S / this.#timeConstantMs;
    this.#updatedAt = now;
  }

  /** Events a second. */
  perS(now: number): number {
    return this.#perS *
      Math.exp(-Math.max(0, now - this.#updatedAt) / this.#timeConstantMs);
  }
}
