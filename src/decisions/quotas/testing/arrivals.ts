/**
 * Random request arrivals, and the times of admissions.
 *
 * @module
 */
import type { Random } from "../../../core/mod.ts";

/** Number of arrivals in a step in which `expected` arrive on average. */
export function arrivals(expected: number, random: Random): number {
  const whole = Math.floor(expected);
  return whole + (random.next() < expected - whole ? 1 : 0);
}

/** Admission times, in order. */
export class AdmissionTimes {
  readonly #at: number[] = [];

  get count(): number {
    return this.#at.length;
  }

  add(now: number): void {
    this.#at.push(now);
  }

  /** Maximum number of admissions in any window of this length. */
  mostWithin(windowMs: number): number {
    let most = 0;
    let first = 0;
    for (const [last, at] of this.#at.entries()) {
      while (at - (this.#at[first] ?? at) >= windowMs) first++;
      most = Math.max(most, last - first + 1);
    }
    return most;
  }
}
