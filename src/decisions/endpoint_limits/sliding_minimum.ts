/**
 * The lowest of the values of a recent time.
 *
 * @module
 */

interface Sample {
  /** Since when it is the lowest. */
  readonly at: number;
  readonly value: number;
}

/**
 * Keeps the values that are lower than all later ones, each with the time since
 * which it is the lowest. A value holds until the next one is added.
 *
 * @example
 * ```ts
 * const lowest = new SlidingMinimum();
 * lowest.add(2, 0);
 * lowest.add(20, 1_000);
 * lowest.since(500); // 2
 * lowest.since(1_000); // 20
 * ```
 */
export class SlidingMinimum {
  /** The earliest, which is the lowest, first. */
  readonly #samples: Sample[] = [];

  /** Adds the value that holds from `at` on. */
  add(value: number, at: number): void {
    const samples = this.#samples;
    let since = at;
    while ((samples.at(-1)?.value ?? -Infinity) >= value) {
      since = samples.pop()?.at ?? since;
    }
    samples.push({ at: since, value });
  }

  /** The lowest value since a moment; infinite without any. Drops older ones. */
  since(from: number): number {
    const samples = this.#samples;
    while ((samples[1]?.at ?? Infinity) <= from) samples.shift();
    return samples[0]?.value ?? Infinity;
  }
}
