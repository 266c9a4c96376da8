/**
 * Refusals for an account's rate.
 *
 * @module
 */
import type { Result } from "neverthrow";
import { type AccountId, fail, type Failure } from "../../core/mod.ts";

/** Refuses an account that the document gives no rate. */
export function noRate(account: AccountId): Result<void, Failure> {
  return fail("rate_exceeded", `account ${account} has no rate`, {
    outcome: "not-run",
  });
}

/** Refuses a request for which there is no token for `waitMs` milliseconds. */
export function overRate(
  account: AccountId,
  waitMs: number,
): Result<void, Failure> {
  return fail("rate_exceeded", `account ${account} is over its rate`, {
    outcome: "not-run",
    ...(Number.isFinite(waitMs) ? { retryAfterMs: Math.ceil(waitMs) } : {}),
  });
}
