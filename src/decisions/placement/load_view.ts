/**
 * One instance's view of the load of endpoints, from which placement, the order
 * at a saturated service and Retry-After are decided.
 *
 * @module
 */
import type { EndpointRow } from "../../traffic/mod.ts";
import { occupancy } from "./occupancy.ts";

/**
 * Age up to which an endpoint's report counts, in milliseconds: less than that
 * of peers' reports (250 to 800 ms). Only a report that counts more requests
 * than this instance knows is used, as a lower one may lack requests on the way.
 */
const REPORT_VALID_MS = 150;
/**
 * Time constant with which a host's slowdown returns to the usual, in
 * milliseconds: about the interval at which hosts change.
 */
const SLOWDOWN_PERIOD_MS = 600;
/** Bound on a reported slowdown; an endpoint may report anything. */
const MAX_SLOWDOWN = 5;

/** Requests at an endpoint, running and queued, from the freshest source. */
export function requestsAt(row: EndpointRow, now: number): number {
  const known = occupancy(row);
  const { report, reportedAt } = row;
  if (report === undefined || now - reportedAt > REPORT_VALID_MS) return known;
  return Math.max(known, report.running + report.waiting);
}

/** Slots of an endpoint, at least one. */
export function slotsOf(row: EndpointRow): number {
  return Math.max(1, row.record.slots);
}

/** Whether an endpoint can start one more request at once. */
export function hasFreeSlot(row: EndpointRow, now: number): boolean {
  return requestsAt(row, now) < slotsOf(row);
}

/**
 * How long work takes on the endpoint's host, as a multiple of the usual. A
 * report is a moment's state, so it loses weight with its age.
 */
export function slowdownOf(row: EndpointRow, now: number): number {
  const reported = row.report?.hostSlowdown;
  if (reported === undefined) return 1;
  const weight = Math.exp((row.reportedAt - now) / SLOWDOWN_PERIOD_MS);
  const bounded = Math.min(MAX_SLOWDOWN, Math.max(1 / MAX_SLOWDOWN, reported));
  return 1 + (bounded - 1) * weight;
}

/**
 * Expected time that a further request waits at an endpoint, as a multiple of
 * the usual duration of a request.
 */
export function waitShare(row: EndpointRow, now: number): number {
  const slots = slotsOf(row);
  const ahead = requestsAt(row, now) - slots + 1;
  return Math.max(0, ahead) / slots * slowdownOf(row, now);
}
