/**
 * This instance's share of the credit for sends to one endpoint.
 *
 * Shares follow the demand of the last seconds, and sum up to one at most
 * whatever demand does. An instance sees its own rise before others report
 * theirs, so it uses the lowest of its recent rates, which all others have
 * received by then. With few requests in the fleet shares are nearly equal, as
 * they say little about where the next one arrives.
 *
 * @module
 */
import { EwmaRate } from "../quotas/mod.ts";
import { SlidingMinimum } from "./sliding_minimum.ts";

/** Time constant of the rates. */
const MEMORY_MS = 8_000;
const MS_PER_S = 1_000;
/** Rate that each instance is taken to have beyond its own: one request. */
const ASSUMED_PER_S = MS_PER_S / MEMORY_MS;

/** What the fleet's demand is known to be. */
export interface KnownDemand {
  /** Requests a second of all reachable instances, as they report them. */
  readonly fleetPerS: number;
  /** Time until all others have received a report of a request. */
  readonly reportedAfterMs: number;
}

/** Compares the demand here with the fleet's, averaged over the same time. */
export class CreditShare {
  readonly #since: number;
  readonly #own = new EwmaRate(MEMORY_MS);
  readonly #fleet = new EwmaRate(MEMORY_MS);
  readonly #lowest = new SlidingMinimum();
  #tickedAt: number;
  /** The lowest own rate since that which all others know. */
  #reportedPerS = 0;
  #fleetPerS = 0;

  constructor(now: number) {
    this.#since = now;
    this.#tickedAt = now;
  }

  /** Counts a request at this instance. */
  recordRequest(now: number): void {
    this.#own.add(now);
  }

  /** Applies the fleet's demand; runs once a tick. */
  tick({ fleetPerS, reportedAfterMs }: KnownDemand, now: number): void {
    this.#fleet.add(now, fleetPerS * (now - this.#tickedAt) / MS_PER_S);
    this.#fleetPerS = this.#fleet.perS(now);
    this.#tickedAt = now;
    const from = now - reportedAfterMs;
    this.#lowest.add(this.#own.perS(now), now);
    this.#reportedPerS = this.#since > from ? 0 : this.#lowest.since(from);
  }

  /**
   * The share among this many instances, in (0, 1].
   *
   * @example
   * ```ts
   * const credit = creditBound({ sends: 20, instances: 72 }) * share.among(72);
   * ```
   */
  among(instances: number): number {
    return (this.#reportedPerS + ASSUMED_PER_S) /
      (this.#fleetPerS + instances * ASSUMED_PER_S);
  }
}
