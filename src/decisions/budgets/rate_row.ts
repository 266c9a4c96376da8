/**
 * Per-account state of the rate budgets.
 *
 * @module
 */
import type { AccountId } from "../../core/mod.ts";
import type { BucketSize } from "../limits/token_bucket.ts";
import type { OnOverallocated } from "./invariant.ts";
import type { PoolScope } from "./rate_policy.ts";
import { RateShare } from "./rate_share.ts";

/** State of one account's rate at this instance. */
export interface RateRow {
  readonly account: AccountId;
  readonly share: RateShare;
  /** Requests waiting for a token at this instance. */
  waiting: number;
  /** Consecutive ticks in which the share was too small. */
  shortTicks: number;
  /** When another instance last asked for a share. */
  lastAskedAt: number;
  pool: PoolScope;
  /** The instance that pools the account's shares, possibly this one. */
  poolOwner: string | undefined;
  /** Demand reported by other instances, as a fraction of the rate. */
  readonly peerDemand: Map<string, { demand: number; at: number }>;
}

/** Time, in milliseconds, for which a reported demand is valid. */
const DEMAND_TTL_MS = 1_500;

/** Creates a row without a share. */
export function newRateRow(
  account: AccountId,
  total: BucketSize,
  now: number,
  onOverallocated?: OnOverallocated,
): RateRow {
  return {
    account,
    share: new RateShare(total, now, onOverallocated),
    waiting: 0,
    shortTicks: 0,
    lastAskedAt: -Infinity,
    pool: "none",
    poolOwner: undefined,
    peerDemand: new Map(),
  };
}

/** The demand of this instance's callers, as a fraction of the rate. */
export function demandFraction(row: RateRow): number {
  return row.share.demand.perS / row.share.total.ratePerS;
}

/** Recent demand reported by each other instance. */
export function peerDemands(row: RateRow, now: number): number[] {
  return [...row.peerDemand.values()]
    .filter(({ at }) => now - at < DEMAND_TTL_MS)
    .map(({ demand }) => demand);
}
