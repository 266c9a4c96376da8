/**
 * How often each client account, and each endpoint with a limit, is asked for:
 * here, and over the fleet as peers report it.
 *
 * @module
 */
import type { AccountId, EndpointId, InstanceId } from "../../core/mod.ts";
import { DemandCounter } from "./demand_counter.ts";
import { DemandShares, type Reserved } from "./demand_shares.ts";
import { DemandTrend } from "./demand_trend.ts";

/** Whose rate the fleet keeps together. */
export type RatedId = AccountId | EndpointId;

/** What an instance reports of one account or endpoint. */
export interface RateUse {
  /** Requests a second that it was asked for lately. */
  readonly perS: number;
  /** Requests admitted since its start. */
  readonly admitted: number;
  /** The fleet's tokens as far as it knows; of accounts only. */
  readonly level: number;
}

/** Who reports: an instance, or several as one. */
export interface Reporter {
  readonly instance: InstanceId;
  /** Names the instance's start: its counts begin anew with it. */
  readonly start: string;
  readonly instances?: number;
  readonly reserved?: Reserved;
}

/** Demand of the fleet as one instance knows it. */
export class FleetDemand {
  readonly shares: DemandShares;
  readonly #counter = new DemandCounter();
  readonly #trend = new DemandTrend();
  readonly #fleetSize: () => number;

  /** @param fleetSize Instances that may spend, this one included. */
  constructor(own: InstanceId, fleetSize: () => number) {
    this.shares = new DemandShares(own, fleetSize);
    this.#fleetSize = fleetSize;
  }

  /** Counts one request. */
  asked(id: RatedId, now: number): void {
    this.#counter.asked(id, now);
    this.#trend.asked(now);
  }

  /** How many times its usual rate this instance is asked just now, at least 1. */
  growth(now: number): number {
    return this.#trend.growth(now);
  }

  /** Takes in this instance's own demand, and gives it; run once a tick. */
  tick(now: number): ReadonlyMap<RatedId, number> {
    const demand = this.#counter.rates(now);
    this.shares.tick(demand);
    return demand;
  }

  /** Takes in what another instance, or several as one, were asked for. */
  reported(from: Reporter, uses: ReadonlyMap<RatedId, RateUse>): void {
    const demand = new Map([...uses].map(([id, use]) => [id, use.perS]));
    this.shares.reported(from.instance, demand, from);
  }

  /**
   * Requests a second of all instances, those that are not heard included.
   * Until peers have reported, all are taken to be asked as this one is.
   */
  fleetPerS(id: RatedId, now: number): number {
    const heard = this.shares.heardPerS(id);
    if (heard <= 0) return this.#counter.rate(id, now) * this.#fleetSize();
    return heard / this.heardPart(id);
  }

  /** The part of a rate that is not reserved for unreachable instances. */
  heardPart(id: RatedId): number {
    return Math.max(MIN_HEARD_PART, 1 - this.shares.reserved(id));
  }
}

/** The part of the demand that is heard is taken to be at least this. */
const MIN_HEARD_PART = 0.01;
