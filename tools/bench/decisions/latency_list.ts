/**
 * Latencies of a run, and their percentiles.
 *
 * @module
 */

/** Milliseconds in the order they came. */
export class LatencyList {
  readonly #values: number[] = [];

  add(ms: number): void {
    this.#values.push(ms);
  }

  /** The value that `part` of all do not exceed; 0 of none. */
  percentile(part: number): number {
    const sorted = [...this.#values].sort((a, b) => a - b);
    const at = Math.min(sorted.length - 1, Math.floor(sorted.length * part));
    return sorted[at] ?? 0;
  }
}
