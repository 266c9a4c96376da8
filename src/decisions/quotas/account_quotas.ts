/**
 * Admission control by a client account's fleet-wide rate and burst.
 *
 * @module
 */
import {
  type AccountId,
  hashFraction,
  type InstanceId,
} from "../../core/mod.ts";
import type { Account } from "../../traffic/mod.ts";
import type { Reservation } from "./demand_shares.ts";
import { FleetBucket, type FleetRate } from "./fleet_bucket.ts";
import {
  FleetDemand,
  type RateLimitId,
  type RateUse,
  type Reporter,
} from "./fleet_demand.ts";
import { DIRECT_GOSSIP_DELAY_MS } from "./gossip_delay.ts";
import {
  NO_WINDOW,
  type RateLimit,
  rateLimit,
  type RateWindow,
  toleratedPerWindow,
} from "./rate_limit.ts";
import { RetryAfterSchedule } from "../limits/retry_after_schedule.ts";

const MAX_RETRY_AFTER_MS = 2_000;
/**
 * Fraction of the tolerance that all instances together use as overdraft. The
 * rest covers what is spent before a partition is detected.
 */
const OVERDRAFT_FRACTION = 0.6;
const MS_PER_S = 1_000;

/** Result of admission: `share` is this instance's share of the rate. */
export type Admission =
  | { readonly admitted: true; readonly share: number }
  | {
    readonly admitted: false;
    readonly share: number;
    readonly retryAfterMs: number;
    /** Requests that the fleet may still admit, as known here. */
    readonly level: number;
    /** Time since a peer last reported, or since the start. */
    readonly reportAgeMs: number;
  };

interface Row {
  account: Account;
  limit: RateLimit;
  /** Requests per window that are tolerated above the limit. */
  toleratedPerWindow: number;
  readonly bucket: FleetBucket;
  readonly retryAfter: RetryAfterSchedule;
  /** The cached rate, and the version of the demand shares it is based on. */
  rate: FleetRate | undefined;
  rateVersion: number;
  /** Tick and report round of the last rebalance. */
  rebalancedTick: number;
  reportRound: number;
}

/** Options of {@link AccountQuotas}. */
export interface AccountQuotasOptions {
  /** Instances that may admit requests, this one included. */
  readonly fleetSize: () => number;
  /** Maximum age of peers' reports. */
  readonly gossipDelayMs?: () => number;
  /** Accounting window of the platform; none by default. */
  readonly window?: RateWindow;
}

/** Token buckets of all accounts at one instance. */
export class AccountQuotas {
  /** Demand of the fleet, updated by this class. */
  readonly demand: FleetDemand;
  readonly #own: InstanceId;
  readonly #rows = new Map<AccountId, Row>();
  readonly #fleetSize: () => number;
  readonly #gossipDelayMs: () => number;
  readonly #window: RateWindow;
  /** Peers that have reported in the current round. */
  readonly #reported = new Set<InstanceId>();
  #ticks = 0;
  /** Completed rounds, in each of which all peers reported. */
  #reportRounds = 0;

  constructor(own: InstanceId, opts: AccountQuotasOptions) {
    this.#own = own;
    this.demand = new FleetDemand(own, opts.fleetSize);
    this.#fleetSize = opts.fleetSize;
    this.#gossipDelayMs = opts.gossipDelayMs ?? (() => DIRECT_GOSSIP_DELAY_MS);
    this.#window = opts.window ?? NO_WINDOW;
  }

  /** Applies the accounts of a plan; existing buckets are kept. */
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
   * Admits or refuses one request of an account.
   *
   * @example
   * ```ts
   * const admission = quotas.take(account, now);
   * if (!admission.admitted) refuse(admission.retryAfterMs);
   * ```
   */
  take(account: Account, now: number): Admission {
    if (account.ratePerS <= 0) return { admitted: true, share: 1 };
    this.demand.recordRequest(account.id, now);
    const row = this.#rows.get(account.id) ?? this.#add(account, now);
    const rate = this.#rebalancedRate(row, now);
    const { share } = rate;
    if (row.bucket.take(rate, now)) return { admitted: true, share };
    const firstMs = row.bucket.waitMs(rate);
    const everyMs = MS_PER_S / Math.max(1e-3, rate.ratePerS * share);
    const retryAfterMs = row.retryAfter.next(now, firstMs, everyMs);
    const level = row.bucket.level(rate, now);
    const reportAgeMs = row.bucket.reportAgeMs(now);
    return { admitted: false, share, retryAfterMs, level, reportAgeMs };
  }

  /**
   * Rebalances the buckets of accounts with demand, and returns their usage for
   * the report to peers.
   *
   * Load: most accounts of a plan are idle at most instances. An idle bucket is
   * rebalanced at its next request, so a tick costs only the active accounts.
   */
  tick(now: number): Map<RateLimitId, RateUse> {
    const demand = this.demand.tick(now);
    this.#ticks++;
    if (this.#allReported()) this.#reportRounds++;
    const uses = new Map<RateLimitId, RateUse>();
    for (const [id, perS] of demand) {
      const row = this.#rows.get(id as AccountId);
      if (row === undefined || row.account.ratePerS <= 0) continue;
      const rate = this.#rebalancedRate(row, now);
      const { admitted } = row.bucket;
      uses.set(id, { perS, admitted, level: row.bucket.level(rate, now) });
    }
    return uses;
  }

  /** Applies a report of another instance or group. */
  applyReport(
    from: Reporter,
    uses: ReadonlyMap<RateLimitId, RateUse>,
    now: number,
  ): void {
    const { instance, start } = from;
    this.demand.applyReport(from, uses);
    this.#reported.add(instance);
    for (const [id, { admitted, level }] of uses) {
      const row = this.#rows.get(id as AccountId);
      if (row === undefined) continue;
      const rate = this.#rate(row);
      row.bucket.applyReport({ instance, start, admitted, level }, rate, now);
    }
  }

  /** Shares reserved for unreachable instances, by group. */
  get reservations(): readonly Reservation[] {
    return this.demand.shares.reservations;
  }

  /** Removes an instance that has ended. */
  remove(instance: InstanceId): void {
    this.demand.shares.remove(instance);
  }

  /** Reserves the share of an instance that became unreachable. */
  markUnreachable(instance: InstanceId): void {
    this.demand.shares.markUnreachable(instance);
    for (const { bucket } of this.#rows.values()) bucket.resetPeer(instance);
  }

  #add(account: Account, now: number): Row {
    const row: Row = {
      ...this.#limitsOf(account),
      bucket: new FleetBucket(now, hashFraction(`${this.#own} ${account.id}`)),
      retryAfter: new RetryAfterSchedule(MAX_RETRY_AFTER_MS),
      rate: undefined,
      rateVersion: 0,
      rebalancedTick: this.#ticks,
      reportRound: this.#reportRounds,
    };
    this.#rows.set(account.id, row);
    return row;
  }

  #limitsOf(
    account: Account,
  ): Pick<Row, "account" | "limit" | "toleratedPerWindow"> {
    return {
      account,
      limit: rateLimit(account, this.#window),
      toleratedPerWindow: toleratedPerWindow(account, this.#window),
    };
  }

  /** Whether all peers reported in this round; if so, starts the next. */
  #allReported(): boolean {
    const { complete, peers } = this.demand.shares;
    if (!complete || !peers.every((id) => this.#reported.has(id))) return false;
    this.#reported.clear();
    return true;
  }

  /** Rebalances a row's bucket, once a tick, and returns its rate. */
  #rebalancedRate(row: Row, now: number): FleetRate {
    const rate = this.#rate(row);
    if (row.rebalancedTick === this.#ticks) return rate;
    const allReported = row.reportRound !== this.#reportRounds;
    row.bucket.rebalance(rate, allReported, now);
    row.rebalancedTick = this.#ticks;
    row.reportRound = this.#reportRounds;
    return rate;
  }

  /**
   * The cached rate of a row. Load: each digest touches every account; without
   * the cache, computing rates is a third of the cost of a digest.
   */
  #rate(row: Row): FleetRate {
    const { version } = this.demand.shares;
    if (row.rate === undefined || row.rateVersion !== version) {
      row.rate = this.#computeRate(row);
      // Computing the rate may itself have recomputed the shares.
      row.rateVersion = this.demand.shares.version;
    }
    return row.rate;
  }

  /**
   * Lists the fields of the limit: with a spread of it, V8 builds each object
   * slowly, and a report of 82 accounts takes 1.0 ms instead of 0.08 ms.
   */
  #computeRate({ account: { id }, limit, toleratedPerWindow }: Row): FleetRate {
    const fleetSize = Math.max(1, this.#fleetSize());
    const { shares } = this.demand;
    return {
      ratePerS: limit.ratePerS,
      initialPerS: limit.initialPerS,
      burst: limit.burst,
      perWindow: limit.perWindow,
      windowMs: limit.windowMs,
      overdraft: toleratedPerWindow * OVERDRAFT_FRACTION / fleetSize,
      share: shares.own(id),
      reserved: shares.reserved(id),
      complete: shares.complete,
      peersPerS: shares.peersPerS(id),
      ownPerS: shares.ownPerS(id),
      instances: Math.max(1, shares.reporting),
      tolerated: toleratedPerWindow,
      fleetSize,
      gossipDelayMs: this.#gossipDelayMs(),
    };
  }
}
