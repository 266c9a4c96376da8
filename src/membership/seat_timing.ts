/**
 * Times of seat leases.
 *
 * @module
 */
import type { SteeringDocument } from "../document/mod.ts";

/** How long each step of a lease takes, in milliseconds, and the floor. */
export interface SeatTiming {
  /** A holder uses a seat this long after it asked for the renewal. */
  readonly leaseMs: number;
  /** What two clocks may differ by over a lease. */
  readonly marginMs: number;
  /** How often a zone's renewals are written. */
  readonly renewMs: number;
  /** A holder without store and promises keeps its floor this long. */
  readonly holdMs: number;
  /** Part of a seat that a holder keeps when it can renew nowhere. */
  readonly floor: number;
  /** An empty seat waits this long for an instance without any. */
  readonly emptyMs: number;
  /** Others write in place of the zone's writer after this long. */
  readonly standInMs: number;
}

/**
 * Three seconds let a renewal be lost twice, at one write a second and zone.
 * An hour is the longest store outage that a zone is to serve through. A fifth
 * as floor costs a zone of two a tenth of its rate for an hour after a kill,
 * and leaves a lone cut-off instance a fifth of its own.
 */
export const SEAT_TIMING: SeatTiming = {
  leaseMs: 3_000,
  marginMs: 500,
  renewMs: 1_000,
  holdMs: 3_600_000,
  floor: 0.2,
  emptyMs: 5_000,
  standInMs: 500,
};

/** Longer deadlines than this do not lengthen a hand-over, in milliseconds. */
export const MAX_SETTLE_MS = 30_000;

/**
 * How long work begun on a seat may still be running after its holder stopped
 * using the seat: the longest deadline of the document, in milliseconds.
 *
 * Without this wait the next holder would fill slots that are still in use,
 * which shows as more requests at an endpoint than it has slots.
 */
export function settleMs(document: SteeringDocument): number {
  const deadlines = Object.values(document.services).flatMap((s) => [
    s.deadline_ms,
    ...s.routes.map((r) => r.deadline_ms ?? 0),
  ]);
  return Math.min(MAX_SETTLE_MS, Math.max(0, ...deadlines));
}
