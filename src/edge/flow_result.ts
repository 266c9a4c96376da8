/**
 * Results of requests, and what the result of an attempt allows to conclude.
 *
 * @module
 */
import type { EndpointId, Failure } from "../core/mod.ts";
import type { SendResult } from "./endpoint_sender.ts";

/** A response of an endpoint. */
export type EndpointResponse = Extract<SendResult, { kind: "answer" }>;

/** Result for the caller. */
export type FlowResult =
  | (EndpointResponse & { readonly endpoint?: EndpointId | undefined })
  | { readonly kind: "refusal"; readonly failure: Failure }
  /** The caller has disconnected; no response is sent. */
  | { readonly kind: "gone" };

/** Statuses from which a caller concludes that its request did not run. */
export const NOT_RUN_STATUSES: ReadonlySet<number> = new Set([
  408,
  421,
  429,
  503,
]);

/** Whether a result shows that a request may have reached its endpoint. */
export function hasArrived(result: SendResult): boolean {
  switch (result.kind) {
    case "unsent":
    case "withheld":
      return false;
    case "cancelled":
      return result.sent;
    default:
      return true;
  }
}

/** Why a response cannot be passed on; undefined if it can. */
export function invalidReason(
  { status, fields }: EndpointResponse,
): string | undefined {
  if (status < 300 && !fields.signed) return "the answer is not signed";
  // The endpoint did not state that the request did not run, so the caller must
  // not conclude that from the status.
  if (NOT_RUN_STATUSES.has(status)) return `the endpoint answered ${status}`;
  return undefined;
}
