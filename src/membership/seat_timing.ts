/**
 * Timing parameters of seat leases.
 *
 * @module
 */
import type { SteeringDocument } from "../document/mod.ts";

/** Durations of the steps of a lease, in milliseconds, and the floor. */
export interface SeatTiming {
  /** A holder may use a seat for this long after it requested the renewal. */
  readonly leaseMs: number;
  /** How far two clocks may drift apart during a lease. */
  readonly clockDriftMs: number;
  /** How often a zone's renewals are written. */
  readonly renewMs: number;
  /** A holder without renewals or promises keeps the floor for this long. */
  readonly holdMs: number;
  /** Part of a seat that a holder keeps while it cannot renew, from 0 to 1. */
  readonly floor: number;
  /** A vacant seat is reserved for instances without a seat for this long. */
  readonly vacancyMs: number;
  /** Delay between successive instances that stand in for a silent writer. */
  readonly failoverStepMs: number;
}

/**
 * A lease of 3 s survives two lost renewals at one write per second and zone.
 * 1 h is the longest store outage that a zone must serve through. A floor of
 * 0.2 costs a zone of two instances a tenth of its rate for 1 h after one is
 * killed, and leaves an isolated instance a fifth of its own rate.
 */
export const DEFAULT_SEAT_TIMING: SeatTiming = {
  leaseMs: 3_000,
  clockDriftMs: 500,
  renewMs: 1_000,
  holdMs: 3_600_000,
  floor: 0.2,
  vacancyMs: 5_000,
  failoverStepMs: 500,
};

/** Upper bound of the wait before a hand-over, in milliseconds. */
export const MAX_IN_FLIGHT_MS = 30_000;

/**
 * How long requests admitted on a seat may run after its holder stopped using
 * it: the document's longest deadline, in milliseconds.
 *
 * Without this wait the next holder would use slots that are still occupied,
 * and an endpoint would get more requests than it has slots.
 */
export function maxInFlightMs(document: SteeringDocument): number {
  const deadlines = Object.values(document.services).flatMap((s) => [
    s.deadline_ms,
    ...s.routes.map((r) => r.deadline_ms ?? 0),
  ]);
  return Math.min(MAX_IN_FLIGHT_MS, Math.max(0, ...deadlines));
}
