/**
 * Admission by a client account's rate and burst over the whole fleet.
 *
 * @module
 */
import type { AccountId, InstanceId } from "../../core/mod.ts";
import type { Account } from "../../traffic/mod.ts";
import type { Reservation } from "./demand_shares.ts";
import { FleetBucket, type FleetRate } from "./fleet_bucket.ts";
import {
  FleetDemand,
  type RatedId,
  type RateUse,
  type Reporter,
} from "./fleet_demand.ts";
import { DIRECT_GOSSIP_DELAY_MS } from "./gossip_delay.ts";
import {
  NO_WINDOW,
  type RateLimit,
  rateLimit,
  type RateWindow,
  tolerated,
} from "./rate_limit.ts";
import { ReturnSchedule } from "../limits/return_schedule.ts";

/** Maximum Retry-After, in milliseconds. */
const LONGEST_RETRY_MS = 2_000;
/**
 * Part of the tolerance used as overdraft by all instances together. The rest
 * covers what is spent before a partition is noticed.
 */
const AHEAD_PART = 0.6;
const MS_PER_S = 1_000;

/** Whether a request is within its account's rate. */
export type Admission =
  | { readonly admitted: true; readonly share: number }
  | {
    readonly admitted: false;
    readonly share: number;
    readonly retryAfterMs: number;
  };

interface Row {
  account: Account;
  limit: RateLimit;
  /** Requests a window that are tolerated beyond the limit. */
  tolerated: number;
  readonly bucket: FleetBucket;
  readonly returns: ReturnSchedule;
  /** The rate as computed last, and in which division of the demand. */
  rate: FleetRate | undefined;
  ratedIn: number;
  /** Tick and round of reports of the last rebalance. */
  balancedIn: number;
  reportedIn: number;
}

/** What quotas go by. */
export interface AccountQuotasOptions {
  /** Instances that may spend, this one included. */
  readonly fleetSize: () => number;
  /** How old peers' reports may be, in milliseconds. */
  readonly gossipDelayMs?: () => number;
  /** How rates are judged, if by a window. */
  readonly window?: RateWindow;
}

/** Buckets of one instance. */
export class AccountQuotas {
  /** What the fleet is asked for; kept up to date by the quotas. */
  readonly demand: FleetDemand;
  readonly #rows = new Map<AccountId, Row>();
  readonly #fleetSize: () => number;
  readonly #gossipDelayMs: () => number;
  readonly #window: RateWindow;
  /** Peers that reported in this round. */
  readonly #heard = new Set<InstanceId>();
  #ticks = 0;
  /** Rounds in which all that may spend have reported. */
  #rounds = 0;

  constructor(own: InstanceId, opts: AccountQuotasOptions) {
    this.demand = new FleetDemand(own, opts.fleetSize);
    this.#fleetSize = opts.fleetSize;
    this.#gossipDelayMs = opts.gossipDelayMs ?? (() => DIRECT_GOSSIP_DELAY_MS);
    this.#window = opts.window ?? NO_WINDOW;
  }

  /** Adopts the accounts of a plan; buckets of known ones are kept. */
  adopt(accounts: readonly Account[], now: number): void {
    const kept = new Set(accounts.map((a) => a.id));
    for (const id of this.#rows.keys()) {
      if (!kept.has(id)) this.#rows.delete(id);
    }
    for (const account of accounts) {
      const known = this.#rows.get(account.id);
      if (known === undefined) this.#add(account, now);
      else Object.assign(known, this.#limitsOf(account), { rate: undefined });
    }
  }

  /**
   * Spends one request of an account.
   *
   * @example
   * ```ts
   * const admission = quotas.take(account, now);
   * if (!admission.admitted) refuse(admission.retryAfterMs);
   * ```
   */
  take(account: Account, now: number): Admission {
    if (account.ratePerS <= 0) return { admitted: true, share: 1 };
    this.demand.asked(account.id, now);
    const row = this.#rows.get(account.id) ?? this.#add(account, now);
    const rate = this.#rebalanced(row, now);
    const { share } = rate;
    if (row.bucket.take(rate, now)) return { admitted: true, share };
    const firstMs = row.bucket.waitMs(rate);
    const everyMs = MS_PER_S / Math.max(1e-3, rate.ratePerS * share);
    const retryAfterMs = row.returns.next(now, firstMs, everyMs);
    return { admitted: false, share, retryAfterMs };
  }

  /**
   * Rebalances buckets, and gives what to report: accounts without demand are
   * left out.
   *
   * Load: most accounts of a plan are idle at most instances. A bucket without
   * demand is rebalanced at its next request, so a tick costs what is in use.
   */
  tick(now: number): Map<RatedId, RateUse> {
    const demand = this.demand.tick(now);
    this.#ticks++;
    if (this.#allReported()) this.#rounds++;
    const uses = new Map<RatedId, RateUse>();
    for (const [id, perS] of demand) {
      const row = this.#rows.get(id as AccountId);
      if (row === undefined || row.account.ratePerS <= 0) continue;
      const rate = this.#rebalanced(row, now);
      const { admitted } = row.bucket;
      uses.set(id, { perS, admitted, level: row.bucket.level(rate, now) });
    }
    return uses;
  }

  /** Applies a report of another instance, or of a zone as one. */
  reported(
    from: Reporter,
    uses: ReadonlyMap<RatedId, RateUse>,
    now: number,
  ): void {
    const { instance, start } = from;
    this.demand.reported(from, uses);
    this.#heard.add(instance);
    for (const [id, { admitted, level }] of uses) {
      const row = this.#rows.get(id as AccountId);
      if (row === undefined) continue;
      const rate = this.#rate(row);
      row.bucket.hear({ instance, start, admitted, level }, rate, now);
    }
  }

  /** What is reserved for unreachable instances, by group. */
  get reservations(): readonly Reservation[] {
    return this.demand.shares.reservations;
  }

  /** An instance has ended. */
  forget(instance: InstanceId): void {
    this.demand.shares.forget(instance);
  }

  /** An instance is unreachable. */
  unreachable(instance: InstanceId): void {
    this.demand.shares.unreachable(instance);
    for (const { bucket } of this.#rows.values()) bucket.unreachable(instance);
  }

  #add(account: Account, now: number): Row {
    const row: Row = {
      ...this.#limitsOf(account),
      bucket: new FleetBucket(now),
      returns: new ReturnSchedule(LONGEST_RETRY_MS),
      rate: undefined,
      ratedIn: 0,
      balancedIn: this.#ticks,
      reportedIn: this.#rounds,
    };
    this.#rows.set(account.id, row);
    return row;
  }

  #limitsOf(account: Account): Pick<Row, "account" | "limit" | "tolerated"> {
    return {
      account,
      limit: rateLimit(account, this.#window),
      tolerated: tolerated(account, this.#window),
    };
  }

  /** Whether all that may spend reported in this round; begins the next. */
  #allReported(): boolean {
    const { allKnown, others } = this.demand.shares;
    if (!allKnown || !others.every((id) => this.#heard.has(id))) return false;
    this.#heard.clear();
    return true;
  }

  /** The rate of a row, once its bucket has been rebalanced in this tick. */
  #rebalanced(row: Row, now: number): FleetRate {
    const rate = this.#rate(row);
    if (row.balancedIn === this.#ticks) return rate;
    const allReported = row.reportedIn !== this.#rounds;
    row.bucket.rebalance(rate, allReported, now);
    row.balancedIn = this.#ticks;
    row.reportedIn = this.#rounds;
    return rate;
  }

  /**
   * The rate of a row. Load: each digest touches every account; without the
   * cache rates are a third of the cost of digests.
   */
  #rate(row: Row): FleetRate {
    const { divisions } = this.demand.shares;
    if (row.rate === undefined || row.ratedIn !== divisions) {
      row.rate = this.#computeRate(row);
      // Computing it may have divided the demand first.
      row.ratedIn = this.demand.shares.divisions;
    }
    return row.rate;
  }

  #computeRate({ account: { id }, limit, tolerated }: Row): FleetRate {
    return {
      ...limit,
      ahead: tolerated * AHEAD_PART / Math.max(1, this.#fleetSize()),
      share: this.demand.shares.own(id),
      reserved: this.demand.shares.reserved(id),
      allKnown: this.demand.shares.allKnown,
      othersPerS: this.demand.shares.othersPerS(id),
      gossipDelayMs: this.#gossipDelayMs(),
    };
  }
}
