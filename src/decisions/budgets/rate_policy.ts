/**
 * How much of an account's rate an instance should have.
 *
 * Answers the load where an account's callers all use one instance, or move
 * from one to another. With fixed parts such an account is refused at a
 * fraction of its rate, which shows as wrongful refusals while the same
 * account's parts lie idle elsewhere. So a part goes where the demand is, and
 * leaves again when the demand does.
 *
 * Answers also accounts whose burst is small for the number of instances: a
 * part of less than a token fills up unused at one instance while another
 * lacks the rest. Such an account's parts are pooled at one member of the zone
 * or of the fleet, and requests elsewhere borrow whole tokens from there.
 *
 * @module
 */
import type { RateShare } from "./rate_share.ts";

/** An account without attempts for this long, in milliseconds, keeps nothing. */
export const IDLE_AFTER_MS = 1_500;

/**
 * Tokens that a part must hold to be worth keeping apart: with fewer, chance
 * leaves a tenth and more of the rate unused at 0.8 of it.
 */
export const APART_TOKENS = 5;

/** Even parts that callers here must need before a pooled part comes here. */
const APART_SHARES = 3;

/** Parts over the measured demand, since arrivals are not even. */
const DEMAND_MARGIN = 1.3;

/** Borrowed parts go back above this multiple of the need; stops flapping. */
const KEEP_FACTOR = 1.25;

/** Asking for less than this part of what is at hand is not worth a message. */
const SMALLEST_ASK = 0.05;

/** How long a request may wait, in milliseconds, for tokens that are there. */
const SOON_MS = 20;

/** Who keeps an account's parts together. */
export type Pool =
  /** Nobody: each instance has enough tokens of its own. */
  | "none"
  /** One instance of each zone. */
  | "zone"
  /** One instance of all. */
  | "fleet";

/** Tokens that the callers here use in this time are not lent. */
const KEEP_TOKENS_MS = 50;
const MS_PER_S = 1_000;

/** What is known of an account at this instance. */
export interface RateState {
  readonly waiting: number;
  readonly now: number;
  readonly pool: Pool;
  /** Whether this instance is the one that keeps the parts together. */
  readonly keeper: boolean;
  /** When another instance last asked for a part. */
  readonly askedAt: number;
  /** How many parts an even split has. */
  readonly seats: number;
  /** Demand of each other instance that asked of late, as parts of the rate. */
  readonly others: readonly number[];
}

/** Where parts are kept together, by how many tokens each would hold. */
export function poolFor(
  burst: number,
  { seats, zones }: { seats: number; zones: number },
): Pool {
  if (burst >= APART_TOKENS * seats) return "none";
  return burst >= APART_TOKENS * zones ? "zone" : "fleet";
}

/** The fraction that this instance's own callers need, by their demand. */
export function needOf(share: RateShare, at: RateState): number {
  if (at.now - share.demand.lastAt > IDLE_AFTER_MS) return 0;
  return apartNeed(share, at, share.demand.perS / share.total.ratePerS);
}

/** The fraction to ask others for, beyond what is at hand. */
export function wantOf(share: RateShare, at: RateState): number {
  const want = targetOf(share, at) - share.usable;
  return want > share.usable * SMALLEST_ASK ? want : 0;
}

/** What a demand needs for itself; nothing where it lives on single tokens. */
function apartNeed(share: RateShare, at: RateState, demand: number): number {
  const need = demand * DEMAND_MARGIN;
  const { burst } = share.total;
  const pooled = at.pool !== "none" && (
    need * burst < APART_TOKENS || need * at.seats < APART_SHARES
  );
  return pooled ? 0 : Math.min(1, need);
}

/** The fraction to have: a keeper has all that others do not need apart. */
function targetOf(share: RateShare, at: RateState): number {
  const need = needOf(share, at);
  if (!keeps(share, at)) return need;
  const apart = at.others.reduce((n, d) => n + apartNeed(share, at, d), 0);
  return Math.max(need, 1 - apart);
}

/** Whole tokens to ask others for at once, for the requests that wait. */
export function tokensWanted(share: RateShare, at: RateState): number {
  if (at.waiting === 0 || share.waitMs(at.now, at.waiting) <= SOON_MS) return 0;
  return Math.ceil(at.waiting - share.tokens(at.now));
}

/** Tokens that may be lent at once; what this instance is about to use stays. */
export function tokensToSpare(share: RateShare, at: RateState): number {
  const soon = share.demand.perS * KEEP_TOKENS_MS / MS_PER_S;
  return Math.max(0, share.tokens(at.now) - at.waiting - soon);
}

/** The fraction that may be lent without hurting this instance's callers. */
export function spareOf(share: RateShare, at: RateState): number {
  const spare = share.usable - needOf(share, at);
  return Math.max(0, Math.min(spare, share.spareOwn(at.now)));
}

/** The borrowed fraction that is no longer needed. */
export function surplusOf(share: RateShare, at: RateState): number {
  if (at.waiting > 0 && !at.keeper) return 0;
  const surplus = share.usable - targetOf(share, at) * KEEP_FACTOR;
  if (surplus <= share.usable * SMALLEST_ASK) return 0;
  return Math.min(surplus, share.returnable(at.now));
}

/** Whether this instance keeps the parts of an account that is in use. */
function keeps(share: RateShare, at: RateState): boolean {
  if (!at.keeper) return false;
  const usedAt = Math.max(share.demand.lastAt, at.askedAt);
  return at.now - usedAt <= IDLE_AFTER_MS;
}
