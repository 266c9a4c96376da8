/**
 * Admission by a client account's rate and burst.
 *
 * @module
 */
import type { AccountId, Failure } from "../../core/mod.ts";
import type { Result } from "neverthrow";
import type { SteeringDocument } from "../../document/mod.ts";

/** Decides whether a request is within its account's rate. */
export interface RateLimiter {
  /** Takes over rates and bursts of a newly accepted document. */
  adopt(document: SteeringDocument, now: number): void;
  /** Spends one request of the account, or refuses with `rate_exceeded`. */
  take(account: AccountId, now: number): Result<void, Failure>;
}
