/**
 * Admission by a client account's rate and burst over the whole fleet.
 *
 * Every instance spends from a bucket of its own, sized by its share of the
 * account's rate. The sum of the buckets is the account's rate and burst while
 * the instances know of each other's demand, and close to it otherwise: a share
 * that grows brings no tokens with it, and an instance that starts has an empty
 * bucket, so neither a move of callers nor a restart of the whole fleet hands
 * out the burst a second time.
 *
 * @module
 */
import type { AccountId } from "../../core/mod.ts";
import type { Account } from "../../traffic/mod.ts";
import { TokenBucket } from "../limits/token_bucket.ts";
import { DemandCounter } from "./demand_counter.ts";
import type { DemandShares } from "./demand_shares.ts";

/**
 * Tokens that a bucket can always hold, so that an account with a small burst
 * is served at every instance. In requests.
 */
const LEAST_BURST = 1;
/** Tokens at the start: the first request of an account is let in. */
const FIRST_TOKENS = 1;
/** The longest that a refused caller is told to stay away, in milliseconds. */
const LONGEST_RETRY_MS = 2_000;

/** Whether a request is within its account's rate. */
export type Admission =
  | { readonly admitted: true; readonly share: number }
  | {
    readonly admitted: false;
    readonly share: number;
    readonly retryAfterMs: number;
  };

/** Buckets of one instance. */
export class AccountQuotas {
  readonly #shares: DemandShares;
  readonly #counter = new DemandCounter();
  readonly #buckets = new Map<AccountId, TokenBucket>();

  constructor(shares: DemandShares) {
    this.#shares = shares;
  }

  /** What this instance was asked for lately, to tell the others. */
  demand(now: number): Map<AccountId, number> {
    return this.#counter.rates(now);
  }

  /**
   * Spends one request of an account.
   *
   * @example
   * ```ts
   * const admission = quotas.take(account, now);
   * if (!admission.admitted) refuse(admission.retryAfterMs);
   * ```
   */
  take(account: Account, now: number): Admission {
    if (account.ratePerS <= 0) return { admitted: true, share: 1 };
    this.#counter.asked(account.id, now);
    const share = this.#shares.own(account.id);
    const bucket = this.#bucket(account, share, now);
    if (bucket.take(now)) return { admitted: true, share };
    const waitMs = bucket.waitMs(now);
    return {
      admitted: false,
      share,
      retryAfterMs: Math.min(LONGEST_RETRY_MS, waitMs),
    };
  }

  #bucket(account: Account, share: number, now: number): TokenBucket {
    const size = {
      ratePerS: account.ratePerS * share,
      burst: Math.max(LEAST_BURST, account.burst * share),
    };
    const known = this.#buckets.get(account.id);
    if (known !== undefined) {
      known.resize(size, now);
      return known;
    }
    const fresh = new TokenBucket(size, now, FIRST_TOKENS);
    this.#buckets.set(account.id, fresh);
    return fresh;
  }
}
