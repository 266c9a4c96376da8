/**
 * Number of requests at an endpoint.
 *
 * @module
 */
import type { EndpointRow } from "../../traffic/mod.ts";

/**
 * Requests at an endpoint, running and queued: those of this instance, and
 * those that its peers last reported.
 *
 * The endpoint's own load report is not used: it dates from its last answer to
 * this instance, and the maximum of two stale numbers is too high most of the
 * time, so that requests would be refused with slots free.
 *
 * @example
 * ```ts
 * if (occupancy(row) < row.record.slots) send(row);
 * ```
 */
export function occupancy(row: EndpointRow): number {
  return row.inFlight + row.peersInFlight;
}
