/**
 * Latencies of a run, and their percentiles.
 *
 * @module
 */

/** Latencies in milliseconds, in the order recorded. */
export class LatencyList {
  readonly #values: number[] = [];

  add(ms: number): void {
    this.#values.push(ms);
  }

  /** The percentile for a fraction such as 0.99; 0 if there are no values. */
  percentile(fraction: number): number {
    const sorted = [...this.#values].sort((a, b) => a - b);
    const at = Math.min(
      sorted.length - 1,
      Math.floor(sorted.length * fraction),
    );
    return sorted[at] ?? 0;
  }
}
