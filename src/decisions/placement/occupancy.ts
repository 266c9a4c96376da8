/**
 * How many requests an endpoint holds, from reports that lag.
 *
 * @module
 */
import type { EndpointRow } from "../../traffic/mod.ts";

/**
 * A report older than this says little: endpoints answer several times a second
 * each, and a burst doubles their load within half a second. In milliseconds.
 */
export const REPORT_FRESH_MS = 400;

/**
 * Requests an endpoint holds, running and waiting, as far as known: its last
 * report while that is fresh, and what this instance and its peers have there.
 *
 * @example
 * ```ts
 * if (occupancy(row, now) < row.record.slots) send(row);
 * ```
 */
export function occupancy(row: EndpointRow, now: number): number {
  const known = row.inFlight + row.peersInFlight;
  const { report } = row;
  if (report === undefined || now - row.reportedAt > REPORT_FRESH_MS) {
    return known;
  }
  const reported = report.running + report.waiting + row.sentSinceReport;
  return Math.max(known, reported);
}
