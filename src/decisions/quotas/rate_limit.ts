/**
 * What an account's rate and burst allow over a window.
 *
 * @module
 */
import type { Account } from "../../traffic/mod.ts";

/** How the platform judges rates: over which time, and what it tolerates. */
export interface RateWindow {
  readonly windowMs: number;
  /** Tolerated beyond the limit, as a part of it. */
  readonly overshoot: number;
  /** Tolerated besides, in requests a window. */
  readonly slack: number;
}

/** No window: rates and bursts apply as they are. */
export const NO_WINDOW: RateWindow = { windowMs: 0, overshoot: 0, slack: 0 };

/** An account's limit, as buckets use it. */
export interface RateLimit {
  /** Tokens that come in, a second. */
  readonly ratePerS: number;
  /** The same while it is not known what the window holds. */
  readonly firstPerS: number;
  /** Tokens that can be saved up. */
  readonly burst: number;
  /** Requests that may be admitted in any window; infinite without one. */
  readonly perWindow: number;
  readonly windowMs: number;
}

/**
 * Parts of the rate and burst that are handed out. Instances that were cut off
 * overspend until they notice; what is left and what is tolerated cover that.
 */
const USED_RATE = 0.97;
/**
 * Part of the rate that is handed out while it is not known what the window
 * holds: some that were never heard may be spending more than their share.
 */
const UNSURE_RATE = 0.9;
const USED_BURST = 0.6;

const MS_PER_S = 1_000;

/**
 * The limit of an account.
 *
 * The load it answers: an account that sends a little more than its rate for a
 * while, or whose demand comes in waves. In each window it may send its rate
 * and once its burst. Buckets filled at the rate alone give the burst out once,
 * and refuse after that what the account may still send.
 *
 * @example
 * ```ts
 * rateLimit(account, window).perWindow; // 5 s of the rate, and the burst
 * ```
 */
export function rateLimit(account: Account, window: RateWindow): RateLimit {
  const { ratePerS, burst } = account;
  const { windowMs } = window;
  const usedBurst = burst * USED_BURST;
  if (windowMs <= 0) {
    const usedPerS = ratePerS * USED_RATE;
    return {
      ratePerS: usedPerS,
      firstPerS: usedPerS,
      burst: usedBurst,
      perWindow: Infinity,
      windowMs,
    };
  }
  const perWindow = allowedPerWindow(account, window);
  return {
    ratePerS: perWindow * MS_PER_S / windowMs,
    firstPerS: ratePerS * UNSURE_RATE,
    burst: usedBurst,
    perWindow,
    windowMs,
  };
}

/** Requests a window that the platform tolerates beyond an account's limit. */
export function tolerated(account: Account, window: RateWindow): number {
  return allowedPerWindow(account, window) * window.overshoot + window.slack;
}

function allowedPerWindow(
  { ratePerS, burst }: Account,
  { windowMs }: RateWindow,
): number {
  return ratePerS * windowMs / MS_PER_S + burst;
}
