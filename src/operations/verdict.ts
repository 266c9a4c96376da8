/**
 * What a caller is told of an operation that somebody has a record of.
 *
 * @module
 */
import { ok } from "neverthrow";
import { fail } from "../core/mod.ts";
import type { RecordView } from "./ledger.ts";
import type { RunResult } from "./operations.ts";

/** When a caller that was refused may come back, in milliseconds. */
export const RETRY_AFTER_MS = 1_000;

/**
 * The answer that a record allows.
 *
 * @example
 * ```ts
 * const result = verdictOf(ledger.view(name), req.fingerprint);
 * ```
 */
export function verdictOf(view: RecordView, fingerprint: string): RunResult {
  if (view.fingerprint !== "" && view.fingerprint !== fingerprint) {
    return mismatch();
  }
  if (view.state === "refused") return refused("refused at this home");
  if (view.state !== "answered") return unknown("may have run");
  if (view.answer) return ok(view.answer);
  return unknown("ran, but its answer was too large to be kept");
}

/** One id was used for two requests; this one did not run. */
export function mismatch(): RunResult {
  return fail("bad_request", "the operation id was used for another request", {
    outcome: "not-run",
  });
}

/** The operation did not run, and no attempt at this home will. */
export function refused(reason: string): RunResult {
  return fail("operation_refused", `the operation was not run: ${reason}`, {
    outcome: "not-run",
    retryAfterMs: RETRY_AFTER_MS,
  });
}

/** This attempt did not run; of earlier ones nothing is said. */
export function notNow(reason: string): RunResult {
  return fail("peer_unavailable", `this attempt was not run: ${reason}`, {
    outcome: "not-run",
    retryAfterMs: RETRY_AFTER_MS,
  });
}

/** Nobody can say whether the operation ran. */
export function unknown(reason: string): RunResult {
  return fail("outcome_unknown", `the operation ${reason}`, {
    outcome: "unknown",
  });
}
