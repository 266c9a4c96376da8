/**
 * Admission by a client account's rate and burst.
 *
 * @module
 */
import type { AccountId, Failure } from "../../core/mod.ts";
import type { Result } from "neverthrow";
import type { SteeringDocument } from "../../document/mod.ts";

/** How long a request can wait for its account's rate. */
export interface TakeOptions {
  /** When the caller's patience ends, on the limiter's clock. */
  readonly deadline: number;
  /** Ends the wait when the caller goes away. */
  readonly signal?: AbortSignal;
}

/** Decides whether a request is within its account's rate. */
export interface RateLimiter {
  /** Takes over rates and bursts of a newly accepted document. */
  adopt(document: SteeringDocument, generation: number): void;
  /**
   * Spends one request of the account, now or after a wait that ends before
   * the deadline.
   *
   * Failures: `rate_exceeded`, `cancelled`; both are `not-run`.
   */
  take(
    account: AccountId,
    opts: TakeOptions,
  ): Promise<Result<void, Failure>>;
}
