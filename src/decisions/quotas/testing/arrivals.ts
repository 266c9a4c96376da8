/**
 * Random request arrivals, and the times of admissions.
 *
 * @module
 */
import type { Random } from "../../../core/mod.ts";
import type { Account } from "../../../traffic/mod.ts";

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

/** Window over which demand and admissions of an account are compared. */
const WINDOW_MS = 5_000;

interface Entry {
  readonly at: number;
  readonly admitted: boolean;
}

/** Requests of one account and their results, in order. */
export class AccountLog {
  readonly account: Account;
  readonly #entries: Entry[] = [];

  constructor(account: Account) {
    this.account = account;
  }

  add(at: number, admitted: boolean): void {
    this.#entries.push({ at, admitted });
  }

  /**
   * Requests since `from` before which, and including it, the window's demand
   * is within the rate and the burst, and how many of them were refused.
   */
  withinRate(
    from = 0,
  ): { readonly requests: number; readonly refused: number } {
    const { ratePerS, burst } = this.account;
    const allowed = ratePerS * WINDOW_MS / 1_000 + burst;
    let [requests, refused, first] = [0, 0, 0];
    for (const [i, { at, admitted }] of this.#entries.entries()) {
      while (at - (this.#entries[first]?.at ?? at) >= WINDOW_MS) first++;
      if (at < from || i - first + 1 > allowed) continue;
      requests++;
      if (!admitted) refused++;
    }
    return { requests, refused };
  }

  /** Admissions in `[from, to)`. */
  admitted(from: number, to: number): number {
    return this.#entries.filter((e) => e.admitted && e.at >= from && e.at < to)
      .length;
  }

  /** Maximum number of admissions in any window. */
  mostWithin(): number {
    const times = new AdmissionTimes();
    for (const { at, admitted } of this.#entries) if (admitted) times.add(at);
    return times.mostWithin(WINDOW_MS);
  }
}
