/**
 * What one instance knows of the requests to an endpoint with a limit.
 *
 * @module
 */
import type { InstanceId } from "../../core/mod.ts";
import { SlidingWindowCounter } from "../quotas/mod.ts";
import { CreditShare } from "./credit_share.ts";
import type { LimitedRequest } from "./limit_state.ts";
import { SlidingMinimum } from "./sliding_minimum.ts";

/** The sliding window over which sends are counted. */
export const WINDOW_MS = 4_000;

/** Credit and counts of one endpoint. */
export interface LimitRow {
  /** Accumulated fractions of requests; a request costs 1. */
  credit: number;
  /** Requests sent from here since the row was created. */
  sent: number;
  /** Recent sends of all instances as reported, and of this one alone. */
  readonly window: SlidingWindowCounter;
  readonly ownWindow: SlidingWindowCounter;
  /** The limit as it was announced. */
  readonly rates: SlidingMinimum;
  /** Credit that was added here recently. */
  readonly accrued: SlidingWindowCounter;
  /** This instance's share of the credit that all may add. */
  readonly share: CreditShare;
  /** Baseline demand of the fleet, and when it was last updated. */
  baselinePerS: number;
  baselineAt: number;
  /** Sends of groups as of their last report. */
  readonly reports: Map<InstanceId, { start: string; sent: number }>;
}

/**
 * Creates a row without requests.
 *
 * @param credit In [0, 1), different at each instance, so that sends are not
 * synchronized.
 */
export function newLimitRow(credit: number, now: number): LimitRow {
  return {
    credit,
    sent: 0,
    window: new SlidingWindowCounter(WINDOW_MS, now),
    ownWindow: new SlidingWindowCounter(WINDOW_MS, now),
    rates: new SlidingMinimum(),
    accrued: new SlidingWindowCounter(WINDOW_MS, now),
    share: new CreditShare(now),
    baselinePerS: 0,
    baselineAt: -Infinity,
    reports: new Map(),
  };
}

/**
 * The lowest limit of a window, in requests a second: if a limit is raised, the
 * sends of before would fill a window that they share with many more.
 */
export function limitOver(
  { rates }: LimitRow,
  { ratePerS }: LimitedRequest,
  now: number,
): number {
  rates.add(ratePerS, now);
  return rates.since(now - WINDOW_MS);
}
