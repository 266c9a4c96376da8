/**
 * Measures how much of its capacity an instance uses.
 *
 * @module
 */

/**
 * Time constant of the average, in milliseconds: garbage collection and single
 * large requests last less, a burst of callers lasts longer.
 */
const TIME_CONSTANT_MS = 1_000;
/** A shorter interval is added to the next, in milliseconds. */
const MIN_INTERVAL_MS = 50;

/** Moving average of the processor time used, as a share of the capacity. */
export class Utilization {
  readonly #capacityCores: number;
  #cpuMs: number | undefined;
  #measuredAt = 0;
  #average: number | undefined;

  constructor(capacityCores: number) {
    this.#capacityCores = capacityCores;
  }

  /**
   * @param cpuMs Processor time of the process since its start, in milliseconds.
   * @returns The share in use; undefined until two measurements were made.
   */
  update(cpuMs: number, now: number): number | undefined {
    const intervalMs = now - this.#measuredAt;
    if (this.#cpuMs === undefined || intervalMs >= MIN_INTERVAL_MS) {
      if (this.#cpuMs !== undefined) {
        this.#add((cpuMs - this.#cpuMs) / intervalMs, intervalMs);
      }
      this.#cpuMs = cpuMs;
      this.#measuredAt = now;
    }
    return this.#average;
  }

  #add(cores: number, intervalMs: number): void {
    const share = cores / this.#capacityCores;
    const weight = 1 - Math.exp(-intervalMs / TIME_CONSTANT_MS);
    this.#average = this.#average === undefined
      ? share
      : this.#average + weight * (share - this.#average);
  }
}
