/**
 * How many requests an endpoint holds.
 *
 * @module
 */
import type { EndpointRow } from "../../traffic/mod.ts";

/**
 * Requests an endpoint holds, running and waiting: what this instance and its
 * peers have there, as they last told.
 *
 * What endpoints say of their own load is not counted. It is of the moment of
 * their last answer here, and the greater of two numbers that both lag is most
 * of the time too great: requests would be refused with slots free.
 *
 * @example
 * ```ts
 * if (occupancy(row) < row.record.slots) send(row);
 * ```
 */
export function occupancy(row: EndpointRow): number {
  return row.inFlight + row.peersInFlight;
}
