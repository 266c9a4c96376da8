/**
 * How many requests of each client account, and for each endpoint with a limit,
 * an instance is asked for.
 *
 * @module
 */
import type { RatedId } from "./fleet_demand.ts";

/**
 * How fast the mean follows, in milliseconds: fast enough that shares follow a
 * move of callers within a second, slow enough that single requests of small
 * accounts do not move them.
 */
const MEMORY_MS = 1_000;
/** Below this an account is left out, in requests a second. */
const NEGLIGIBLE = 0.05;
const MS_PER_S = 1_000;

interface Count {
  perS: number;
  at: number;
}

/** Exponentially weighted rates by account. */
export class DemandCounter {
  readonly #counts = new Map<RatedId, Count>();

  /** Counts one request. */
  asked(account: RatedId, now: number): void {
    const count = this.#counts.get(account);
    const added = MS_PER_S / MEMORY_MS;
    if (count === undefined) {
      this.#counts.set(account, { perS: added, at: now });
      return;
    }
    count.perS = faded(count, now) + added;
    count.at = now;
  }

  /** Requests a second of one account or endpoint. */
  rate(id: RatedId, now: number): number {
    const count = this.#counts.get(id);
    return count === undefined ? 0 : faded(count, now);
  }

  /** Requests a second by account, those without any left out. */
  rates(now: number): Map<RatedId, number> {
    const rates = new Map<RatedId, number>();
    for (const [account, count] of this.#counts) {
      const perS = faded(count, now);
      if (perS < NEGLIGIBLE) this.#counts.delete(account);
      else rates.set(account, perS);
    }
    return rates;
  }
}

function faded(count: Count, now: number): number {
  return count.perS * Math.exp(-Math.max(0, now - count.at) / MEMORY_MS);
}
