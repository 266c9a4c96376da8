/**
 * Failures returned by the dispatcher: typed, with outcome `not-run` and, where
 * it can be estimated, the time after which to retry.
 *
 * @module
 */
import type { Result } from "neverthrow";
import { fail, type Failure, type ServiceId } from "../../core/mod.ts";

/** Retry delay for a service without a slot here: about two ticks. */
export const NO_SLOT_RETRY_MS = 250;
const MIN_RETRY_MS = 10;

/** Rounds an estimated wait up to a retry delay in whole milliseconds. */
export function toRetryDelayMs(ms: number): number {
  return Number.isFinite(ms)
    ? Math.max(MIN_RETRY_MS, Math.ceil(ms))
    : NO_SLOT_RETRY_MS;
}

/** The service has no capacity; includes when to retry. */
export function noCapacity(
  service: ServiceId,
  why: string,
  retryMs: number,
): Result<never, Failure> {
  return fail("no_capacity", `service ${service} has no capacity: ${why}`, {
    outcome: "not-run",
    retryAfterMs: toRetryDelayMs(retryMs),
  });
}

/** The service has no endpoint here that accepts requests. */
export function noEndpoint(service: ServiceId): Result<never, Failure> {
  return fail("no_endpoint", `service ${service} has no endpoint here`, {
    outcome: "not-run",
  });
}

/** The caller cancelled before anything was sent. */
export function cancelled(): Result<never, Failure> {
  return fail("cancelled", "the caller disconnected", { outcome: "not-run" });
}
