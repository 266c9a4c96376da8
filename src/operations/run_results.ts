/**
 * What a caller receives for an operation that has a record.
 *
 * @module
 */
import { ok } from "neverthrow";
import { fail } from "../core/mod.ts";
import type { RecordView } from "./ledger.ts";
import type { RunResult } from "./operations.ts";

/** Delay before a refused caller should retry, in milliseconds. */
export const RETRY_AFTER_MS = 1_000;

/**
 * The result that follows from a record.
 *
 * @example
 * ```ts
 * const result = resultOf(ledger.view(name), req.fingerprint);
 * ```
 */
export function resultOf(view: RecordView, fingerprint: string): RunResult {
  if (view.fingerprint !== "" && view.fingerprint !== fingerprint) {
    return idReused();
  }
  if (view.state === "refused") return refused("refused at this home");
  if (view.state !== "answered") return unknown("may have run");
  if (view.answer) return ok(view.answer);
  return unknown("ran, but its answer was too large to record");
}

/** The id was already used for another request; this one did not run. */
export function idReused(): RunResult {
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

/** This attempt did not run; earlier ones may have. */
export function unavailable(reason: string): RunResult {
  return fail("peer_unavailable", `this attempt was not run: ${reason}`, {
    outcome: "not-run",
    retryAfterMs: RETRY_AFTER_MS,
  });
}

/** It cannot be determined whether the operation ran. */
export function unknown(reason: string): RunResult {
  return fail("outcome_unknown", `the operation ${reason}`, {
    outcome: "unknown",
  });
}
