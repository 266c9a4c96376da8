/**
 * How much of an account's rate an instance should have.
 *
 * Answers the load where an account's callers all use one instance, or move
 * from one to another. With fixed parts such an account is refused at a
 * fraction of its rate, which shows as wrongful refusals while the same
 * account's parts lie idle elsewhere. So a part goes where the demand is, and
 * leaves again when the demand does.
 *
 * @module
 */
import type { RateShare } from "./rate_share.ts";

/** An account without attempts for this long, in milliseconds, keeps nothing. */
export const IDLE_AFTER_MS = 1_500;

/** Parts over the measured demand, since arrivals are not even. */
const DEMAND_MARGIN = 1.3;

/** Borrowed parts go back above this multiple of the need; stops flapping. */
const KEEP_FACTOR = 1.25;

/** Asking for less than this part of what is at hand is not worth a message. */
const SMALLEST_ASK = 0.05;

/** How long a request may wait, in milliseconds, for tokens that are there. */
const SOON_MS = 20;

/** What is waiting at a share. */
export interface Waiting {
  readonly waiting: number;
  readonly now: number;
}

/** The fraction that this instance's callers need. */
export function needOf(share: RateShare, { waiting, now }: Waiting): number {
  const idle = now - share.demand.lastAt > IDLE_AFTER_MS;
  if (idle && waiting === 0) return 0;
  const { ratePerS, burst } = share.total;
  const byDemand = share.demand.perS * DEMAND_MARGIN / ratePerS;
  const byTokens = (waiting + 1) / burst;
  return Math.min(1, Math.max(byDemand, byTokens));
}

/** The fraction to ask others for, beyond what is at hand. */
export function wantOf(share: RateShare, at: Waiting): number {
  const missing = needOf(share, at) - share.usable;
  const late = at.waiting > 0 && share.waitMs(at.now, at.waiting) > SOON_MS;
  const tokens = late ? at.waiting / share.total.burst : 0;
  const want = Math.min(1 - share.usable, Math.max(missing, tokens));
  return want > share.usable * SMALLEST_ASK ? want : 0;
}

/** The fraction that may be lent without hurting this instance's callers. */
export function spareOf(share: RateShare, at: Waiting): number {
  const spare = share.usable - needOf(share, at);
  return Math.max(0, Math.min(spare, share.spareOwn(at.now)));
}

/** The borrowed fraction that is no longer needed. */
export function surplusOf(share: RateShare, at: Waiting): number {
  if (at.waiting > 0) return 0;
  const keep = needOf(share, at) * KEEP_FACTOR;
  const surplus = share.usable - keep;
  if (surplus <= share.usable * SMALLEST_ASK) return 0;
  return Math.min(surplus, share.book.borrowedTotal(at.now));
}
