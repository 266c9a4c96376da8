/**
 * Whether a request that finds no token waits, or is refused at once.
 *
 * Answers two loads that look alike for a moment: callers that have moved, so
 * that the account's parts are still on their way, and an account that sends
 * several times its rate. Refusing the first at once shows as wrongful
 * refusals after every move; letting the second wait holds requests until
 * their deadline that never had a chance. What tells them apart is the demand
 * that other instances report, and how long the shortage has lasted.
 *
 * @module
 */

import { DEMAND_WINDOW_MS } from "./demand_meter.ts";

/** Part of the time to the deadline that may go by waiting; the rest is work. */
const WAIT_PART = 0.8;

/** A wait of this many milliseconds is let pass whatever else is known. */
const SHORT_WAIT_MS = 50;

/** Time that parts need to follow callers that moved: decay, two ticks. */
const MOVE_MS = 500;

/** Time after which parts of a dead borrower have come back, in milliseconds. */
const RECLAIM_MS = 1_500;

/** Demand over this multiple of a large rate is too much, not chance. */
const OVER_FACTOR = 1.1;

/** Deviations of the measured demand that are let pass as chance. */
const CHANCE = 2;
const MS_PER_S = 1_000;

/** What is known when a request finds no token. */
export interface Shortage {
  /** Milliseconds until its token is there at the present part. */
  readonly waitMs: number;
  /** Milliseconds to its deadline. */
  readonly leftMs: number;
  /** Milliseconds since others first had nothing to lend. */
  readonly scarceForMs: number;
  /** Demand of all instances as far as known; 1 is the account's rate. */
  readonly fleetDemand: number;
  readonly ratePerS: number;
  /** Milliseconds until its token is there if all parts came here. */
  readonly bestMs: number;
}

/**
 * True where waiting makes sense.
 *
 * @example
 * ```ts
 * mayWait({ ...shortage, waitMs: 20, leftMs: 1_000, scarceForMs: 0 });
 * ```
 */
export function mayWait(at: Shortage): boolean {
  const patience = at.leftMs * WAIT_PART;
  if (at.bestMs > patience) return false;
  if (at.waitMs <= Math.min(SHORT_WAIT_MS, patience)) return true;
  if (at.scarceForMs > MOVE_MS && isOver(at)) return false;
  if (at.scarceForMs > RECLAIM_MS && at.waitMs > patience) return false;
  return true;
}

/**
 * Whether an account's demand is over its rate beyond chance. A moving average
 * over a window of so many milliseconds varies as a count over twice of it.
 */
export function isOver(
  { fleetDemand, ratePerS }: Pick<Shortage, "fleetDemand" | "ratePerS">,
): boolean {
  const counted = ratePerS * 2 * DEMAND_WINDOW_MS / MS_PER_S;
  return fleetDemand > OVER_FACTOR + CHANCE / Math.sqrt(counted);
}

/** When a waiting request gives up, in milliseconds from now. */
export function patienceMs(leftMs: number): number {
  return leftMs * WAIT_PART;
}
