/**
 * Decides what share of an account's rate an instance should have.
 *
 * Answers the load where an account's callers all use one instance, or move
 * from one to another. With fixed shares such an account is refused at a
 * fraction of its rate, which shows as wrongful refusals while its shares at
 * other instances are idle. So shares follow the demand.
 *
 * Also answers accounts whose burst is small for the number of instances: a
 * share of less than a token fills up unused at one instance while another
 * lacks the rest. Such an account's shares are pooled at one instance of the
 * zone or of the fleet, and the others borrow whole tokens from it.
 *
 * @module
 */
import type { RateShare } from "./rate_share.ts";

/** Time without attempts, in milliseconds, after which an account is idle. */
export const IDLE_AFTER_MS = 1_500;

/**
 * Burst, in tokens, below which a share is pooled: smaller buckets leave a
 * tenth or more of the rate unused at a load of 0.8, by random arrivals alone.
 */
export const MIN_SHARE_TOKENS = 5;

/** Local need, in even shares, that justifies a share of a pooled account. */
const MIN_NEED_EVEN_SHARES = 3;

/** Share per measured demand; above 1 since arrivals are not even. */
const DEMAND_MARGIN = 1.3;

/** Borrowed rate is returned above this multiple of the need, against flapping. */
const RETURN_THRESHOLD = 1.25;

/** Smallest change worth a message, as a fraction of the usable share. */
const MIN_CHANGE_FRACTION = 0.05;

/** A wait for local tokens up to this, in milliseconds, borrows none. */
const MAX_LOCAL_WAIT_MS = 20;

/** Where an account's shares are pooled. */
export type PoolScope =
  /** Not pooled: each instance's share has enough tokens. */
  | "none"
  /** At one instance of each zone. */
  | "zone"
  /** At one instance of the fleet. */
  | "fleet";

/** Tokens for this much of the local demand, in milliseconds, are not lent. */
const TOKEN_RESERVE_MS = 50;
const MS_PER_S = 1_000;

/** Inputs of the policy for one account at this instance. */
export interface RateState {
  readonly waiting: number;
  readonly now: number;
  readonly pool: PoolScope;
  /** Whether the account's shares are pooled at this instance. */
  readonly isPoolOwner: boolean;
  /** When another instance last asked for a share. */
  readonly lastAskedAt: number;
  /** Number of seats, which is that of even shares. */
  readonly seats: number;
  /** Recent demand of each other instance, as fractions of the rate. */
  readonly peerDemands: readonly number[];
}

/** Chooses the pool by the tokens that each share would hold. */
export function poolScopeFor(
  burst: number,
  { seats, zones }: { seats: number; zones: number },
): PoolScope {
  if (burst >= MIN_SHARE_TOKENS * seats) return "none";
  return burst >= MIN_SHARE_TOKENS * zones ? "zone" : "fleet";
}

/** The fraction that this instance's own callers need. */
export function neededFraction(share: RateShare, at: RateState): number {
  if (at.now - share.demand.lastAttemptAt > IDLE_AFTER_MS) return 0;
  return dedicatedFraction(share, at, share.demand.perS / share.total.ratePerS);
}

/** The fraction to borrow beyond the usable share; zero if it is too small. */
export function missingFraction(share: RateShare, at: RateState): number {
  const want = targetFraction(share, at) - share.rateFraction;
  return want > share.rateFraction * MIN_CHANGE_FRACTION ? want : 0;
}

/** The share that a demand needs; zero if single borrowed tokens serve it. */
function dedicatedFraction(
  share: RateShare,
  at: RateState,
  demand: number,
): number {
  const need = demand * DEMAND_MARGIN;
  const { burst } = share.total;
  const pooled = at.pool !== "none" && (
    need * burst < MIN_SHARE_TOKENS || need * at.seats < MIN_NEED_EVEN_SHARES
  );
  return pooled ? 0 : Math.min(1, need);
}

/** The fraction to have; for a pool owner, all that other instances don't need. */
function targetFraction(share: RateShare, at: RateState): number {
  const need = neededFraction(share, at);
  if (!ownsActivePool(share, at)) return need;
  const dedicated = at.peerDemands.reduce(
    (n, d) => n + dedicatedFraction(share, at, d),
    0,
  );
  return Math.max(need, 1 - dedicated);
}

/** Whole tokens to borrow at once for the waiting requests. */
export function missingTokens(share: RateShare, at: RateState): number {
  if (
    at.waiting === 0 || share.waitMs(at.now, at.waiting) <= MAX_LOCAL_WAIT_MS
  ) return 0;
  return Math.ceil(at.waiting - share.tokens(at.now));
}

/** Tokens that may be lent at once, less those about to be used here. */
export function lendableTokens(share: RateShare, at: RateState): number {
  const soon = share.demand.perS * TOKEN_RESERVE_MS / MS_PER_S;
  return Math.max(0, share.tokens(at.now) - at.waiting - soon);
}

/** The fraction that this instance's callers do not need and may be lent. */
export function lendableFraction(share: RateShare, at: RateState): number {
  const spare = share.rateFraction - neededFraction(share, at);
  return Math.max(0, Math.min(spare, share.unlentOwn(at.now)));
}

/** The borrowed fraction that is no longer needed. */
export function surplusFraction(share: RateShare, at: RateState): number {
  if (at.waiting > 0 && !at.isPoolOwner) return 0;
  const surplus = share.rateFraction -
    targetFraction(share, at) * RETURN_THRESHOLD;
  if (surplus <= share.rateFraction * MIN_CHANGE_FRACTION) return 0;
  return Math.min(surplus, share.returnable(at.now));
}

/** Whether this instance pools the shares of an account that is in use. */
function ownsActivePool(share: RateShare, at: RateState): boolean {
  if (!at.isPoolOwner) return false;
  const usedAt = Math.max(share.demand.lastAttemptAt, at.lastAskedAt);
  return at.now - usedAt <= IDLE_AFTER_MS;
}
