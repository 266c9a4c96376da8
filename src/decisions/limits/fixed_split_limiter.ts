/**
 * Baseline rate limiter: every instance has the same fixed share of each rate.
 *
 * It holds under any failure, since shares follow from the document alone. Its
 * weakness: an account whose callers all use one instance is limited to that
 * instance's share, and refused although its total rate is below the limit.
 *
 * @module
 */
import { ok, type Result } from "neverthrow";
import type { AccountId, Clock, Failure } from "../../core/mod.ts";
import { type SteeringDocument, zonesOf } from "../../document/mod.ts";
import { rateExceeded, rateMissing } from "./rate_refusal.ts";
import type { RateLimiter } from "./rate_limiter.ts";
import { type BucketSize, TokenBucket } from "./token_bucket.ts";

/** Splits each account's rate evenly over the document's instances. */
export class FixedSplitLimiter implements RateLimiter {
  readonly #clock: Clock;
  readonly #buckets = new Map<AccountId, TokenBucket>();

  constructor(clock: Clock) {
    this.#clock = clock;
  }

  adopt(document: SteeringDocument): void {
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
      this.#resize(id as AccountId, size);
    }
  }

  take(account: AccountId): Promise<Result<void, Failure>> {
    return Promise.resolve(this.#take(account));
  }

  #take(account: AccountId): Result<void, Failure> {
    const bucket = this.#buckets.get(account);
    if (bucket === undefined) return rateMissing(account);
    const now = this.#clock.now();
    if (bucket.take(now)) return ok(undefined);
    return rateExceeded(account, bucket.waitMs(now));
  }

  #resize(id: AccountId, size: BucketSize): void {
    const now = this.#clock.now();
    const bucket = this.#buckets.get(id);
    if (bucket) bucket.resize(size, now);
    else this.#buckets.set(id, new TokenBucket(size, now));
  }
}
