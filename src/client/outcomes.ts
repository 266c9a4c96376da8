/**
 * Classifies responses and failures: whether the operation may have run, and
 * whether to retry it.
 *
 * @module
 */
import type { Result } from "neverthrow";
import { z } from "zod";
import {
  fail,
  type Failure,
  type FailureCode,
  type Outcome,
} from "../core/mod.ts";
import type { HomeBinding } from "./home_bindings.ts";

const ErrorBody = z.object({
  code: z.string(),
  message: z.string(),
  outcome: z.enum(["not-run", "unknown"]).optional(),
  retry_after_ms: z.number().optional(),
});

/** Failures that a retry of the same request cannot resolve. */
const NON_RETRYABLE: ReadonlySet<FailureCode> = new Set<FailureCode>([
  "bad_request",
  "forbidden",
  "not_found",
  "unauthenticated",
  "value_too_large",
]);

/**
 * Whether to retry. An operation that may have run is retried even when over
 * the rate, because its response may be recorded already.
 */
export function isRetryable(
  failure: Failure,
  { mayHaveRun }: HomeBinding,
): boolean {
  if (failure.code === "rate_exceeded") return mayHaveRun;
  return !NON_RETRYABLE.has(failure.code);
}

/**
 * The outcome of the operation over all its attempts. After an attempt that may
 * have run, the refusal of a later attempt does not show that it did not.
 */
export function operationOutcome(
  failure: Failure,
  binding: HomeBinding,
): Outcome {
  if (failure.outcome !== "not-run") return "unknown";
  if (!binding.mayHaveRun) return "not-run";
  const permanent = binding.home !== undefined &&
    failure.code === "operation_refused";
  return permanent ? "not-run" : "unknown";
}

/** The failure in a response; undefined if a service answered. */
export function parseFailure(
  outcome: string | string[] | undefined,
  body: Uint8Array,
): Failure | undefined {
  if (outcome === undefined) return undefined;
  const parsed = ErrorBody.parse(JSON.parse(new TextDecoder().decode(body)));
  return {
    code: parsed.code as FailureCode,
    message: parsed.message,
    path: [],
    ...(parsed.outcome ? { outcome: parsed.outcome } : {}),
    ...(parsed.retry_after_ms ? { retryAfterMs: parsed.retry_after_ms } : {}),
  };
}

/** The instance did not respond; a refused connection carried no request. */
export function transportFailure(cause: unknown): Result<never, Failure> {
  const connectionRefused =
    String((cause as { code?: unknown })?.code) === "ECONNREFUSED";
  return fail("no_answer", `no response from the instance: ${String(cause)}`, {
    outcome: connectionRefused ? "not-run" : "unknown",
  });
}
