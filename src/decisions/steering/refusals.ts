/**
 * Refusals of the dispatcher: typed, with outcome `not-run`, and with the time
 * after which a request could be taken.
 *
 * @module
 */
import type { Result } from "neverthrow";
import { fail, type Failure, type ServiceId } from "../../core/mod.ts";

/** When to come back to a service without a slot here: about two ticks. */
export const NO_SLOT_RETRY_MS = 250;
const MIN_RETRY_MS = 10;

/** A truthful time to come back, in whole milliseconds. */
export function retryAfter(ms: number): number {
  return Number.isFinite(ms)
    ? Math.max(MIN_RETRY_MS, Math.ceil(ms))
    : NO_SLOT_RETRY_MS;
}

/** Says that a service has no room, and when it may have. */
export function noCapacity(
  service: ServiceId,
  why: string,
  retryMs: number,
): Result<never, Failure> {
  return fail("no_capacity", `service ${service} has no room: ${why}`, {
    outcome: "not-run",
    retryAfterMs: retryAfter(retryMs),
  });
}

/** Says that a service has no endpoint that takes work here. */
export function noEndpoint(service: ServiceId): Result<never, Failure> {
  return fail("no_endpoint", `service ${service} has no endpoint here`, {
    outcome: "not-run",
  });
}

/** Says that the caller left before anything was sent. */
export function cancelled(): Result<never, Failure> {
  return fail("cancelled", "the caller went away", { outcome: "not-run" });
}
