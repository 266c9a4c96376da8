/**
 * One account's row in the table of rates.
 *
 * @module
 */
import type { AccountId } from "../../core/mod.ts";
import type { BucketSize } from "../limits/token_bucket.ts";
import type { OnUnaccounted } from "./invariant.ts";
import type { Pool } from "./rate_policy.ts";
import { RateShare } from "./rate_share.ts";

/** One account's row. */
export interface RateRow {
  readonly account: AccountId;
  readonly share: RateShare;
  /** Requests that wait for a token here. */
  waiting: number;
  /** Ticks in a row in which something was missing. */
  missedTicks: number;
  /** When another instance last asked for a part. */
  askedAt: number;
  pool: Pool;
  /** The instance that keeps the account's parts together; itself, maybe. */
  keeper: string | undefined;
  /** Demand that other instances told, as a fraction of the rate. */
  readonly peerDemand: Map<string, { demand: number; at: number }>;
}

/** What another instance tells of its demand counts so long, in milliseconds. */
const DEMAND_FRESH_MS = 1_500;

/** Makes a row that has nothing yet. */
export function newRow(
  account: AccountId,
  total: BucketSize,
  now: number,
  onUnaccounted?: OnUnaccounted,
): RateRow {
  return {
    account,
    share: new RateShare(total, now, onUnaccounted),
    waiting: 0,
    missedTicks: 0,
    askedAt: -Infinity,
    pool: "none",
    keeper: undefined,
    peerDemand: new Map(),
  };
}

/** The demand of the callers here, as a fraction of the rate. */
export function demandOf(row: RateRow): number {
  return row.share.demand.perS / row.share.total.ratePerS;
}

/** What each other instance told of its demand of late. */
export function peerDemands(row: RateRow, now: number): number[] {
  return [...row.peerDemand.values()]
    .filter(({ at }) => now - at < DEMAND_FRESH_MS)
    .map(({ demand }) => demand);
}
