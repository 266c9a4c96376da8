/**
 * Decides whether a request without a token waits or is refused at once.
 *
 * Answers two loads that look alike at first: callers that have moved, so that
 * the account's shares have yet to follow, and an account that sends several
 * times its rate. Refusing the first at once shows as wrongful refusals after
 * every move; letting the second wait holds requests until their deadline that
 * could never be admitted. The demand that other instances report and the age
 * of the shortage distinguish the two.
 *
 * @module
 */

import { DEMAND_TIME_CONSTANT_MS } from "./demand_meter.ts";

/** Fraction of the remaining deadline available for waiting, not execution. */
const MAX_WAIT_FRACTION = 0.8;

/** A wait up to this, in milliseconds, is allowed whatever the demand. */
const SHORT_WAIT_MS = 50;

/** Time for shares to follow moved callers: demand decay and two ticks. */
const SHARE_MOVE_MS = 500;

/** Time, in milliseconds, after which a dead borrower's loans have expired. */
const RECLAIM_MS = 1_500;

/** Multiple of a large rate above which demand exceeds it beyond noise. */
const MAX_DEMAND_FACTOR = 1.1;

/** Standard deviations of the measured demand that count as noise. */
const NOISE_DEVIATIONS = 2;
const MS_PER_S = 1_000;

/** The state in which a request finds no token. */
export interface Shortage {
  /** Milliseconds until its token is available at the present share. */
  readonly waitMs: number;
  /** Milliseconds to its deadline. */
  readonly leftMs: number;
  /** Milliseconds since the other instances first had nothing to lend. */
  readonly scarceForMs: number;
  /** Known demand of all instances; 1 is the account's rate. */
  readonly fleetDemand: number;
  readonly ratePerS: number;
  /** Milliseconds until its token is available with all shares here. */
  readonly bestMs: number;
}

/**
 * Whether the request may wait for a token.
 *
 * @example
 * ```ts
 * mayWait({ ...shortage, waitMs: 20, leftMs: 1_000, scarceForMs: 0 });
 * ```
 */
export function mayWait(at: Shortage): boolean {
  const limitMs = at.leftMs * MAX_WAIT_FRACTION;
  if (at.bestMs > limitMs) return false;
  if (at.waitMs <= Math.min(SHORT_WAIT_MS, limitMs)) return true;
  if (at.scarceForMs > SHARE_MOVE_MS && exceedsRate(at)) return false;
  if (at.scarceForMs > RECLAIM_MS && at.waitMs > limitMs) return false;
  return true;
}

/**
 * Whether an account's demand exceeds its rate beyond noise. An exponential
 * average varies as a count over twice its time constant.
 */
export function exceedsRate(
  { fleetDemand, ratePerS }: Pick<Shortage, "fleetDemand" | "ratePerS">,
): boolean {
  const expectedCount = ratePerS * 2 * DEMAND_TIME_CONSTANT_MS / MS_PER_S;
  return fleetDemand >
    MAX_DEMAND_FACTOR + NOISE_DEVIATIONS / Math.sqrt(expectedCount);
}

/** The longest that a request may wait for a token, in milliseconds. */
export function maxWaitMs(leftMs: number): number {
  return leftMs * MAX_WAIT_FRACTION;
}
