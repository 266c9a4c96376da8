/**
 * Request rates of each client account and of each endpoint with a rate limit,
 * at this instance and over the fleet as peers report them.
 *
 * @module
 */
import type { AccountId, EndpointId, InstanceId } from "../../core/mod.ts";
import { DemandCounter } from "./demand_counter.ts";
import { DemandShares, type ReservedShares } from "./demand_shares.ts";
import { DemandTrend } from "./demand_trend.ts";

/** What has a rate limit over the whole fleet. */
export type RateLimitId = AccountId | EndpointId;

/** Usage of one account or endpoint, as an instance reports it. */
export interface RateUse {
  /** Recent requests a second, admitted or not. */
  readonly perS: number;
  /** Requests admitted since the instance started. */
  readonly admitted: number;
  /** The instance's estimate of the fleet's remaining tokens; accounts only. */
  readonly level: number;
}

/** Source of a report: an instance, or the aggregate of several. */
export interface Reporter {
  readonly instance: InstanceId;
  /** Identifies the instance's start: its counters restart at zero with it. */
  readonly start: string;
  readonly instances?: number;
  readonly reserved?: ReservedShares;
}

/** One instance's view of the fleet's demand. */
export class FleetDemand {
  readonly shares: DemandShares;
  readonly #counter = new DemandCounter();
  readonly #trend = new DemandTrend();
  readonly #fleetSize: () => number;

  /** @param fleetSize Instances that may admit requests, this one included. */
  constructor(own: InstanceId, fleetSize: () => number) {
    this.shares = new DemandShares(own, fleetSize);
    this.#fleetSize = fleetSize;
  }

  /** Counts one request. */
  recordRequest(id: RateLimitId, now: number): void {
    this.#counter.recordRequest(id, now);
    this.#trend.recordRequest(now);
  }

  /** Current demand at this instance over its baseline, at least 1. */
  growth(now: number): number {
    return this.#trend.growth(now);
  }

  /** Applies this instance's own demand and returns it; runs once a tick. */
  tick(now: number): ReadonlyMap<RateLimitId, number> {
    const demand = this.#counter.rates(now);
    this.shares.tick(demand);
    return demand;
  }

  /** Applies the demand that another instance or group reported. */
  applyReport(from: Reporter, uses: ReadonlyMap<RateLimitId, RateUse>): void {
    const demand = new Map<RateLimitId, number>();
    for (const [id, { perS }] of uses) demand.set(id, perS);
    this.shares.applyReport(from.instance, demand, from);
  }

  /** Instances that may admit requests, this one included. */
  get fleetSize(): number {
    return this.#fleetSize();
  }

  /** Requests a second at this instance, the latest ones included. */
  localPerS(id: RateLimitId, now: number): number {
    return this.#counter.rate(id, now);
  }

  /**
   * Requests a second of all instances, the unreachable ones included. Until
   * peers have reported, each is assumed to have the demand of this instance.
   */
  fleetPerS(id: RateLimitId, now: number): number {
    const reachable = this.shares.reachablePerS(id);
    if (reachable <= 0) return this.#counter.rate(id, now) * this.#fleetSize();
    return reachable / this.reachableFraction(id);
  }

  /** Fraction of a rate that is not reserved for unreachable instances. */
  reachableFraction(id: RateLimitId): number {
    return Math.max(MIN_REACHABLE_FRACTION, 1 - this.shares.reserved(id));
  }
}

/** Lower bound of the reachable fraction, which is a divisor. */
const MIN_REACHABLE_FRACTION = 0.01;
