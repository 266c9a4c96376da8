/**
 * Failures of requests that exceed their account's rate.
 *
 * @module
 */
import type { Result } from "neverthrow";
import { type AccountId, fail, type Failure } from "../../core/mod.ts";

/** Refuses an account that the document gives no rate. */
export function rateMissing(account: AccountId): Result<void, Failure> {
  return fail("rate_exceeded", `account ${account} has no rate`, {
    outcome: "not-run",
  });
}

/** Refuses a request for which a token is due in `waitMs` milliseconds. */
export function rateExceeded(
  account: AccountId,
  waitMs: number,
): Result<void, Failure> {
  return fail("rate_exceeded", `account ${account} is over its rate`, {
    outcome: "not-run",
    ...(Number.isFinite(waitMs) ? { retryAfterMs: Math.ceil(waitMs) } : {}),
  });
}
