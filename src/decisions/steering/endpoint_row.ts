/**
 * The table row of one endpoint, and how much work it may have.
 *
 * Answers cold starts and endpoints that slow down under load. Without it a
 * new endpoint gets a full share while its caches are empty, which shows as a
 * latency peak after each change of the endpoint list; and an endpoint whose
 * announced slots are more than it can run keeps them all filled, which shows
 * as its latency rising with nothing gained.
 *
 * @module
 */
import type { EndpointId, ServiceId } from "../../core/mod.ts";
import type { EndpointEntry } from "../../document/mod.ts";

/** What an endpoint last said of itself; it lags and may be wrong. */
export interface LoadHint {
  /** Its last word on whether it takes work. */
  readonly ready: boolean;
  /** Whether the latest probe was answered at all. */
  readonly reachable: boolean;
  readonly inFlight: number | undefined;
  /** When it was measured, on this instance's clock. */
  readonly at: number;
}

/** One endpoint of this availability zone. */
export interface EndpointRow {
  readonly id: EndpointId;
  readonly service: ServiceId;
  entry: EndpointEntry;
  /** Slots in use, those of abandoned requests included. */
  inFlight: number;
  /** This instance's part of the slots, as last asked. */
  slotLimit: number;
  /** Concurrency that measured latency allows. */
  learned: number;
  /** Smoothed latency as a multiple of what such work usually takes. */
  stretch: number;
  /** Latency samples since the last ejection. */
  samples: number;
  sampledAt: number;
  /** Failures since the last success. */
  failures: number;
  /** Ejections or backoffs in a row; each lasts longer. */
  setbacks: number;
  /** No new work before this time. */
  blockedUntil: number;
  /** Whether the block is an ejection, of which only so many are allowed. */
  ejected: boolean;
  /** When slow start began; -Infinity for a warm endpoint. */
  coldSince: number;
  /** When it began to drain; undefined while it takes work. */
  drainingSince: number | undefined;
  hint: LoadHint | undefined;
}

/** Caches of a cold endpoint warm in about this time. */
export const SLOW_START_MS = 10_000;
/** Part of its slots that a cold endpoint begins with. */
const COLD_PART = 0.25;
/** Stretch beyond which an endpoint is taken to be overloaded. */
const OVERLOAD_STRETCH = 2;
/** Decrease by a twentieth a sample: halved after about 14 slow answers. */
const DECREASE = 0.95;
/** One more slot after about twice as many answers as there are slots. */
const INCREASE = 0.5;
/** Several probes; after that the endpoint may have been replaced unseen. */
const NOT_READY_MS = 10_000;
const STRETCH_WEIGHT = 0.2;
/** Without samples, half of what was learned of slowness is forgotten. */
const FORGET_HALF_MS = 5_000;

/** Makes a row; `cold` starts it slowly. */
export function makeRow(
  id: EndpointId,
  of: { service: ServiceId; entry: EndpointEntry },
  coldSince: number,
): EndpointRow {
  return {
    id,
    ...of,
    inFlight: 0,
    slotLimit: 0,
    learned: of.entry.slots,
    stretch: 1,
    samples: 0,
    sampledAt: -Infinity,
    failures: 0,
    setbacks: 0,
    blockedUntil: -Infinity,
    ejected: false,
    coldSince,
    drainingSince: undefined,
    hint: undefined,
  };
}

/** How far an endpoint has warmed up, from {@link COLD_PART} to 1. */
export function warmth(row: EndpointRow, now: number): number {
  const part = (now - row.coldSince) / SLOW_START_MS;
  return Math.min(1, Math.max(COLD_PART, part));
}

/** The part of an endpoint's connections that goes with a part of its slots. */
export function connectionPart(entry: EndpointEntry, slots: number): number {
  return Math.floor(entry.connections * slots / entry.slots);
}

/**
 * Whether the endpoint said lately that it takes no work. It is taken at its
 * word even if it should be wrong: work sent to one that leaves is lost.
 */
export function saysNotReady(row: EndpointRow, now: number): boolean {
  const { hint } = row;
  return hint !== undefined && !hint.ready && now - hint.at < NOT_READY_MS;
}

/** Requests the row may have in flight at once; never above the slot limit. */
export function allowance(row: EndpointRow, now: number): number {
  if (row.drainingSince !== undefined || row.blockedUntil > now) return 0;
  if (saysNotReady(row, now)) return 0;
  const hard = Math.min(
    row.slotLimit,
    connectionPart(row.entry, row.slotLimit),
  );
  const soft = Math.floor(row.learned * warmth(row, now));
  return Math.min(hard, Math.max(1, soft));
}

/** Slots that may still be filled. */
export function room(row: EndpointRow, now: number): number {
  return Math.max(0, allowance(row, now) - row.inFlight);
}

/** Takes in how long an answer took, as a multiple of the usual time. */
export function learnLatency(
  row: EndpointRow,
  stretch: number,
  now: number,
): void {
  row.stretch += STRETCH_WEIGHT * (stretch - row.stretch);
  row.samples += 1;
  row.sampledAt = now;
  row.learned = row.stretch > OVERLOAD_STRETCH
    ? Math.max(1, row.learned * DECREASE)
    : Math.min(row.entry.slots, row.learned + INCREASE / row.learned);
}

/** The stretch to judge by; slowness that nobody has seen lately fades. */
export function stretchNow(row: EndpointRow, now: number): number {
  if (row.sampledAt === -Infinity) return 1;
  const faded = 0.5 ** ((now - row.sampledAt) / FORGET_HALF_MS);
  return 1 + (row.stretch - 1) * faded;
}
