/**
 * What an answer or a failure says of an operation, and whether to ask again.
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

const Refusal = z.object({
  code: z.string(),
  message: z.string(),
  outcome: z.enum(["not-run", "unknown"]).optional(),
  retry_after_ms: z.number().optional(),
});

/** Asking again with the same request cannot help with these. */
const FINAL: ReadonlySet<FailureCode> = new Set<FailureCode>([
  "bad_request",
  "forbidden",
  "not_found",
  "unauthenticated",
  "value_too_large",
]);

/**
 * What may have run is asked for again even over the rate: the answer is there.
 */
export function mayRetry(
  failure: Failure,
  { uncertain }: HomeBinding,
): boolean {
  if (failure.code === "rate_exceeded") return uncertain;
  return !FINAL.has(failure.code);
}

/**
 * What is known of the operation, not of one attempt alone: after an attempt
 * that may have run, a later one that was refused at the door proves nothing.
 */
export function outcomeOf(failure: Failure, binding: HomeBinding): Outcome {
  if (failure.outcome !== "not-run") return "unknown";
  if (!binding.uncertain) return "not-run";
  const forGood = binding.home !== undefined &&
    failure.code === "operation_refused";
  return forGood ? "not-run" : "unknown";
}

/** The failure that the system answered with; undefined for an answer. */
export function readRefusal(
  outcome: string | string[] | undefined,
  body: Uint8Array,
): Failure | undefined {
  if (outcome === undefined) return undefined;
  const parsed = Refusal.parse(JSON.parse(new TextDecoder().decode(body)));
  return {
    code: parsed.code as FailureCode,
    message: parsed.message,
    path: [],
    ...(parsed.outcome ? { outcome: parsed.outcome } : {}),
    ...(parsed.retry_after_ms ? { retryAfterMs: parsed.retry_after_ms } : {}),
  };
}

/** The instance gave no answer; refused connections carried nothing. */
export function unreachable(cause: unknown): Result<never, Failure> {
  const refused =
    String((cause as { code?: unknown })?.code) === "ECONNREFUSED";
  return fail("no_answer", `the instance failed: ${String(cause)}`, {
    outcome: refused ? "not-run" : "unknown",
  });
}
