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

/** Part of the time to the deadline that may go by waiting; the rest is work. */
const WAIT_PART = 0.8;

/** A wait of this many milliseconds is let pass whatever else is known. */
const SHORT_WAIT_MS = 50;

/** Time that parts need to follow callers that moved: decay, two ticks. */
const MOVE_MS = 500;

/** Time after which parts of a dead borrower have come back, in milliseconds. */
const RECLAIM_MS = 1_500;

/** Demand over this multiple of the rate is too much, not chance. */
const OVER_FACTOR = 1.1;

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
  /** Milliseconds until its token is there if all parts came here. */
  readonly bestMs: number;
}

/**
 * True where waiting makes sense.
 *
 * @example
 * ```ts
 * mayWait({ waitMs: 20, leftMs: 1000, scarceForMs: 0, fleetDemand: 0.5, bestMs: 5 });
 * ```
 */
export function mayWait(at: Shortage): boolean {
  const patience = at.leftMs * WAIT_PART;
  if (at.bestMs > patience) return false;
  if (at.waitMs <= Math.min(SHORT_WAIT_MS, patience)) return true;
  if (at.scarceForMs > MOVE_MS && at.fleetDemand > OVER_FACTOR) return false;
  if (at.scarceForMs > RECLAIM_MS && at.waitMs > patience) return false;
  return true;
}

/** When a waiting request gives up, in milliseconds from now. */
export function patienceMs(leftMs: number): number {
  return leftMs * WAIT_PART;
}
