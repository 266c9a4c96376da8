/**
 * Measures an instance's request rate for each client account and each endpoint
 * with a rate limit.
 *
 * @module
 */
import { EwmaRate } from "./ewma_rate.ts";
import type { RateLimitId } from "./fleet_demand.ts";

/**
 * Time constant of the moving average: short enough that shares follow callers
 * that switch instances within a second, long enough that single requests of
 * small accounts do not change them.
 */
const TIME_CONSTANT_MS = 1_000;
/** An account with a lower rate is dropped. */
const NEGLIGIBLE_PER_S = 0.05;

/** Exponentially weighted moving average rates, by account or endpoint. */
export class DemandCounter {
  readonly #rates = new Map<RateLimitId, EwmaRate>();

  /** Counts one request. */
  recordRequest(id: RateLimitId, now: number): void {
    let rate = this.#rates.get(id);
    if (rate === undefined) {
      rate = new EwmaRate(TIME_CONSTANT_MS);
      this.#rates.set(id, rate);
    }
    rate.add(now);
  }

  /** Requests a second of one account or endpoint. */
  rate(id: RateLimitId, now: number): number {
    return this.#rates.get(id)?.perS(now) ?? 0;
  }

  /** Requests a second of all ids with demand; drops those without. */
  rates(now: number): Map<RateLimitId, number> {
    const rates = new Map<RateLimitId, number>();
    for (const [account, count] of this.#rates) {
      const perS = count.perS(now);
      if (perS < NEGLIGIBLE_PER_S) this.#rates.delete(account);
      else rates.set(account, perS);
    }
    return rates;
  }
}
