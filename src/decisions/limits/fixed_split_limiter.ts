/**
 * The plain baseline: every instance has the same fixed part of each rate.
 *
 * It is safe whatever fails, since the parts are the document's and never
 * move. What goes wrong with it: an account whose callers all use one instance
 * is refused at a fraction of its rate, which shows as refusals of an account
 * whose rate over all instances is below its limit.
 *
 * @module
 */
import { ok, type Result } from "neverthrow";
import { type AccountId, fail, type Failure } from "../../core/mod.ts";
import { type SteeringDocument, zonesOf } from "../../document/mod.ts";
import type { RateLimiter } from "./rate_limiter.ts";
import { type BucketSize, TokenBucket } from "./token_bucket.ts";

/** Splits each account's rate evenly over the document's instances. */
export class FixedSplitLimiter implements RateLimiter {
  readonly #buckets = new Map<AccountId, TokenBucket>();

  adopt(document: SteeringDocument, now: number): void {
    const instances = zonesOf(document).reduce((n, z) => n + z.instances, 0);
    const share = 1 / Math.max(1, instances);
    for (const id of this.#buckets.keys()) {
      if (!Object.hasOwn(document.rates, id)) this.#buckets.delete(id);
    }
    for (const [id, rate] of Object.entries(document.rates)) {
      const size = {
        ratePerS: rate.rate_per_s * share,
        burst: rate.burst * share,
      };
      this.#resize(id as AccountId, size, now);
    }
  }

  take(account: AccountId, now: number): Result<void, Failure> {
    const bucket = this.#buckets.get(account);
    if (bucket === undefined) {
      return fail("rate_exceeded", `account ${account} has no rate`, {
        outcome: "not-run",
      });
    }
    if (bucket.take(now)) return ok(undefined);
    const waitMs = bucket.waitMs(now);
    return fail("rate_exceeded", `account ${account} is over its rate`, {
      outcome: "not-run",
      ...(Number.isFinite(waitMs) ? { retryAfterMs: Math.ceil(waitMs) } : {}),
    });
  }

  #resize(id: AccountId, size: BucketSize, now: number): void {
    const bucket = this.#buckets.get(id);
    if (bucket) bucket.resize(size, now);
    else this.#buckets.set(id, new TokenBucket(size, now));
  }
}
