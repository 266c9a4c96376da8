/**
 * What the fleet's retry budget allows in one window, for checks of whole runs.
 *
 * @module
 */
import type { RetryAllowance } from "../mod.ts";

/**
 * Retries that a window may hold: by the requests in it, or in the windows that
 * begin half a window and a whole one before, whichever has most.
 *
 * @param requestsAt When callers sent requests, sorted.
 * @param from When the window begins.
 */
export function maxRetriesIn(
  requestsAt: readonly number[],
  from: number,
  { ratio, slack, windowMs }: RetryAllowance,
): number {
  const requests = [0, windowMs / 2, windowMs].map((ago) =>
    countBetween(requestsAt, from - ago, from - ago + windowMs)
  );
  return Math.max(...requests) * ratio + slack;
}

/** Number of times within `[from, to)` in a sorted list. */
export function countBetween(
  times: readonly number[],
  from: number,
  to: number,
): number {
  return firstFrom(times, to) - firstFrom(times, from);
}

/** Index of the first time that is not before a moment. */
function firstFrom(times: readonly number[], moment: number): number {
  let low = 0;
  for (let high = times.length; low < high;) {
    const middle = (low + high) >> 1;
    if ((times[middle] ?? Infinity) < moment) low = middle + 1;
    else high = middle;
  }
  return low;
}
