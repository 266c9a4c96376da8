/**
 * Requests that arrive at a rate, and when they were admitted.
 *
 * @module
 */
import type { Random } from "../../../core/mod.ts";

/** How many requests arrive where so many are expected. */
export function arrivals(expected: number, random: Random): number {
  const whole = Math.floor(expected);
  return whole + (random.next() < expected - whole ? 1 : 0);
}

/** Times of admissions, in order. */
export class AdmissionTimes {
  readonly #at: number[] = [];

  get count(): number {
    return this.#at.length;
  }

  add(now: number): void {
    this.#at.push(now);
  }

  /** The most in any window of this length, in milliseconds. */
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
