/**
 * Token-bucket parameters from an account's rate, burst and accounting window.
 *
 * @module
 */
import type { Account } from "../../traffic/mod.ts";

/** The window over which the platform measures rates, and its tolerance. */
export interface RateWindow {
  readonly windowMs: number;
  /** Tolerated above the limit, as a fraction of it. */
  readonly overshoot: number;
  /** Tolerated in addition, in requests per window. */
  readonly slack: number;
}

/** No window: rates and bursts apply as they are. */
export const NO_WINDOW: RateWindow = { windowMs: 0, overshoot: 0, slack: 0 };

/** An account's limit in the parameters of its token bucket. */
export interface RateLimit {
  /** Refill rate in tokens a second. */
  readonly ratePerS: number;
  /** Refill rate while earlier spending in the window is unknown. */
  readonly initialPerS: number;
  /** Capacity in tokens. */
  readonly burst: number;
  /** Maximum requests in any window; infinite without one. */
  readonly perWindow: number;
  readonly windowMs: number;
}

/**
 * Fractions of the rate and burst in use. Partitioned instances overspend until
 * they detect the partition; the unused rest and the tolerance cover that.
 */
const RATE_FRACTION = 0.97;
/**
 * Fraction of the rate in use while earlier spending in the window is unknown:
 * instances that have not reported yet may spend more than their share.
 */
const INITIAL_RATE_FRACTION = 0.9;
const BURST_FRACTION = 0.6;

const MS_PER_S = 1_000;

/**
 * Derives an account's limit.
 *
 * Load: an account that stays slightly above its rate for some time, or whose
 * demand fluctuates. Each window allows its rate plus one burst. A bucket that
 * refills at the rate alone grants the burst once, and then refuses requests
 * that the window still allows.
 *
 * @example
 * ```ts
 * rateLimit(account, window).perWindow; // 5 s of the rate, and the burst
 * ```
 */
export function rateLimit(account: Account, window: RateWindow): RateLimit {
  const { ratePerS, burst } = account;
  const { windowMs } = window;
  const usedBurst = burst * BURST_FRACTION;
  if (windowMs <= 0) {
    const usedPerS = ratePerS * RATE_FRACTION;
    return {
      ratePerS: usedPerS,
      initialPerS: usedPerS,
      burst: usedBurst,
      perWindow: Infinity,
      windowMs,
    };
  }
  const perWindow = allowedPerWindow(account, window);
  return {
    ratePerS: perWindow * MS_PER_S / windowMs,
    initialPerS: ratePerS * INITIAL_RATE_FRACTION,
    burst: usedBurst,
    perWindow,
    windowMs,
  };
}

/** Requests per window that the platform tolerates above an account's limit. */
export function toleratedPerWindow(
  account: Account,
  window: RateWindow,
): number {
  return allowedPerWindow(account, window) * window.overshoot + window.slack;
}

function allowedPerWindow(
  { ratePerS, burst }: Account,
  { windowMs }: RateWindow,
): number {
  return ratePerS * windowMs / MS_PER_S + burst;
}
