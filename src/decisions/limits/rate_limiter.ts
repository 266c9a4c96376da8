/**
 * Interface of rate limiters for client accounts.
 *
 * @module
 */
import type { AccountId, Failure } from "../../core/mod.ts";
import type { Result } from "neverthrow";
import type { SteeringDocument } from "../../document/mod.ts";

/** How long a request can wait for its account's rate. */
export interface TakeOptions {
  /** Deadline of the request, on the limiter's clock. */
  readonly deadline: number;
  /** Ends the wait when the caller disconnects. */
  readonly signal?: AbortSignal;
}

/** Admits requests within their account's rate. */
export interface RateLimiter {
  /** Applies the rates and bursts of a newly accepted document. */
  adopt(document: SteeringDocument, generation: number): void;
  /**
   * Takes a token for one request of the account, now or after a wait that ends
   * before the deadline.
   *
   * Failures: `rate_exceeded`, `cancelled`; both are `not-run`.
   */
  take(
    account: AccountId,
    opts: TakeOptions,
  ): Promise<Result<void, Failure>>;
}
