/**
 * How many requests of each client account, and for each endpoint with a limit,
 * an instance is asked for.
 *
 * @module
 */
import { FadingRate } from "./fading_rate.ts";
import type { RatedId } from "./fleet_demand.ts";

/**
 * How fast the mean follows, in milliseconds: fast enough that shares follow a
 * move of callers within a second, slow enough that single requests of small
 * accounts do not move them.
 */
const MEMORY_MS = 1_000;
/** Below this an account is left out, in requests a second. */
const NEGLIGIBLE = 0.05;

/** Exponentially weighted rates by account. */
export class DemandCounter {
  readonly #counts = new Map<RatedId, FadingRate>();

  /** Counts one request. */
  asked(account: RatedId, now: number): void {
    let count = this.#counts.get(account);
    if (count === undefined) {
      count = new FadingRate(MEMORY_MS);
      this.#counts.set(account, count);
    }
    count.add(now);
  }

  /** Requests a second of one account or endpoint. */
  rate(id: RatedId, now: number): number {
    return this.#counts.get(id)?.perS(now) ?? 0;
  }

  /** Requests a second by account, those without any left out. */
  rates(now: number): Map<RatedId, number> {
    const rates = new Map<RatedId, number>();
    for (const [account, count] of this.#counts) {
      const perS = count.perS(now);
      if (perS < NEGLIGIBLE) this.#counts.delete(account);
      else rates.set(account, perS);
    }
    return rates;
  }
}
