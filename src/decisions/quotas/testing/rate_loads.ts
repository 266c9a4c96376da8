/**
 * Loads and failures of a fleet whose accounts have less than one request a
 * second at most instances.
 *
 * @module
 */
import type { AccountId } from "../../../core/mod.ts";
import type { Account } from "../../../traffic/mod.ts";
import {
  account,
  type AccountLoad,
  maxPerWindow,
  QuotaFleet,
  type QuotaMember,
  SUSPECT_AFTER_MS,
} from "./quota_fleet.ts";

const ACCOUNTS = 82;
const ZIPF_EXPONENT = 1.2;
const TOTAL_DEMAND_PER_S = 813;
/** An account's rate over its usual demand. */
const RATE_OVER_USUAL = 1.6;
/** Demand at calm, as a fraction of the rate. */
const CALM = 0.6;
const ZONES = 6;
const WARM_UP_MS = 7_000;
const DOWNTIME_MS = 700;
/** A burst of the views, 0.68 of the requests, at 2.3 times their demand. */
const BURST_OF_ONE_KIND = 1 + 0.68 * 1.3;

/** Accounts of which a few are large; bursts in seconds of the rate. */
export function zipfAccounts(count: number, burstS: number): Account[] {
  const weights = Array.from(
    { length: count },
    (_, i) => (i + 1) ** -ZIPF_EXPONENT,
  );
  const total = weights.reduce((a, b) => a + b, 0);
  return weights.map((weight, i) => {
    const usualPerS = TOTAL_DEMAND_PER_S * weight / total;
    const ratePerS = usualPerS * RATE_OVER_USUAL;
    const id = `account-${i}` as AccountId;
    return account({ id, ratePerS, burst: ratePerS * burstS });
  });
}

export interface LoadOptions {
  readonly size: number;
  /** Burst of each account, in seconds of its rate. */
  readonly burstS: number;
  /** Indexes of the accounts that are played; all by default. */
  readonly indexes?: readonly number[];
  readonly seed?: number;
}

/** What callers got. */
export interface LoadResult {
  /**
   * Refused requests within the rate, as a fraction of those; of accounts that
   * do not surge.
   */
  readonly refusedWithinRate: number;
  /** Admissions over the tolerated maximum, in the worst window. */
  readonly worstWindow: number;
  /** Admissions over the rate, of accounts above their rate. */
  readonly used: number;
}

/** A fleet under one of the loads, which the methods play. */
export class RateLoads {
  readonly fleet: QuotaFleet;
  readonly accounts: readonly Account[];
  readonly #startMs: number;
  #used: number[] = [];
  /** Accounts that were above their rate. */
  readonly #surged = new Set<AccountId>();

  constructor({ size, burstS, indexes, seed = 1 }: LoadOptions) {
    const all = zipfAccounts(ACCOUNTS, burstS);
    this.accounts = indexes?.flatMap((i) => all[i] ?? []) ?? all;
    this.fleet = new QuotaFleet(size, {
      accounts: this.accounts,
      seed,
      zones: ZONES,
    });
    this.run(WARM_UP_MS);
    this.#startMs = this.fleet.now;
  }

  /** Sends requests at `times` the calm demand of each account. */
  run(
    forMs: number,
    times: (index: number) => number = () => 1,
    weight?: (member: QuotaMember) => number,
  ): void {
    const loads = this.accounts.map((a, i): AccountLoad => ({
      account: a,
      perS: a.ratePerS * CALM * times(i),
    }));
    this.fleet.runLoads(forMs, loads, weight);
  }

  calm(): this {
    this.run(12_000);
    return this;
  }

  burst(): this {
    this.run(6_000, () => BURST_OF_ONE_KIND);
    this.run(6_000);
    return this;
  }

  /** Callers of one zone move to another. */
  shift(): this {
    this.run(6_000, undefined, ({ zone }) => SHIFTED[zone] ?? 1);
    this.run(6_000);
    return this;
  }

  /** A fraction of the instances restarts; callers avoid those that are down. */
  restart(fraction: number): this {
    const { members } = this.fleet;
    const killed = new Set(members.slice(0, members.length * fraction));
    if (fraction >= 1) {
      this.fleet.runLoads(DOWNTIME_MS, []);
      this.fleet.restartAll();
    } else {
      this.run(DOWNTIME_MS, undefined, (m) => killed.has(m) ? 0 : 1);
      for (const member of killed) this.fleet.restart(member);
    }
    this.run(10_000);
    return this;
  }

  /** A third of the instances is isolated, and reconnected 6 s later. */
  isolate(times: (index: number) => number = () => 1): this {
    const { members } = this.fleet;
    this.fleet.cut(members.filter((_, i) => Math.floor(i / ZONES) % 3 === 0));
    this.run(SUSPECT_AFTER_MS, times);
    this.fleet.detectCut();
    this.run(6_000, times);
    this.fleet.heal();
    this.run(6_000, times);
    return this;
  }

  /** Some accounts send a multiple of their usual demand. */
  surge(times: number, indexes: readonly number[]): this {
    const forMs = 10_000;
    const from = this.fleet.now;
    const factor = times / RATE_OVER_USUAL / CALM;
    this.run(forMs, (i) => indexes.includes(i) ? factor : 1);
    this.#used = indexes.map((i) => {
      const subject = this.accounts[i];
      if (subject === undefined) return 0;
      this.#surged.add(subject.id);
      const log = this.fleet.logs.get(subject.id);
      const admitted = log?.admitted(from, this.fleet.now) ?? 0;
      return admitted / (subject.ratePerS * forMs / 1_000);
    });
    return this;
  }

  result(): LoadResult {
    let [requests, refused, worstWindow] = [0, 0, 0];
    for (const log of this.fleet.logs.values()) {
      const most = log.mostWithin() / maxPerWindow(log.account);
      worstWindow = Math.max(worstWindow, most);
      if (this.#surged.has(log.account.id)) continue;
      const within = log.withinRate(this.#startMs);
      requests += within.requests;
      refused += within.refused;
    }
    return {
      refusedWithinRate: refused / Math.max(1, requests),
      worstWindow,
      used: Math.min(...this.#used),
    };
  }
}

/** Relative demand of the zones after callers of the first moved. */
const SHIFTED: readonly number[] = [0.1, 1.9];
