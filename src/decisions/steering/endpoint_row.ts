/**
 * State of one endpoint at this instance, and its concurrency limit.
 *
 * Combines slow start with an adaptive limit. Without slow start a new endpoint
 * gets a full share while its caches are empty, and latency peaks after each
 * change of the endpoint list. Without the adaptive limit an endpoint that
 * declares more slots than it can run is kept full, and its latency rises
 * without more throughput.
 *
 * @module
 */
import type { EndpointId, ServiceId } from "../../core/mod.ts";
import type { EndpointEntry } from "../../document/mod.ts";
import type { EndpointStatement } from "./dispatcher.ts";

/** The last load report of an endpoint; it may be outdated or wrong. */
export interface LoadHint {
  /** Whether it last reported that it accepts requests. */
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
  /** Slots in use, including those of abandoned requests. */
  inFlight: number;
  /** This instance's share of the slots, as last read from the limits. */
  slotLimit: number;
  /** Concurrency limit derived from measured latency. */
  adaptiveLimit: number;
  /** Smoothed ratio of latency to the baseline of the same class of work. */
  latencyRatio: number;
  /** Latency samples since the last ejection. */
  samples: number;
  sampledAt: number;
  /** Failures since the last success or ejection. */
  consecutiveFailures: number;
  /** Consecutive ejections and backoffs, up to a limit; each lasts longer. */
  backoffLevel: number;
  /** No new requests before this time. */
  blockedUntil: number;
  /** Whether the block is an ejection; the number of ejections is limited. */
  ejected: boolean;
  /** When slow start begins or began; -Infinity for a warm endpoint. */
  slowStartSince: number;
  /** When it began to drain; undefined if it is not draining. */
  drainingSince: number | undefined;
  hint: LoadHint | undefined;
}

/** Caches of a cold endpoint warm in about this time. */
export const SLOW_START_MS = 10_000;
/** Fraction of its slots that a cold endpoint starts with. */
const SLOW_START_MIN_FACTOR = 0.25;
/** Latency ratio above which an endpoint counts as overloaded. */
const OVERLOAD_LATENCY_RATIO = 2;
/** 5% less per sample: halved after about 14 slow responses. */
const LIMIT_DECREASE_FACTOR = 0.95;
/** One more slot after about twice as many responses as there are slots. */
const LIMIT_INCREASE_STEP = 0.5;
/** Several probe intervals; later the endpoint may have been replaced. */
const NOT_READY_TTL_MS = 10_000;
const LATENCY_RATIO_WEIGHT = 0.2;
/** Without samples, excess latency decays with this half-life. */
const LATENCY_RATIO_HALF_LIFE_MS = 5_000;

/**
 * Longest Retry-After that is honoured, in milliseconds: an endpoint that
 * restarts under its id wants requests again, and nothing else shows that.
 */
const MAX_RETRY_AFTER_MS = 60_000;

/** Creates a row whose slow start begins at `slowStartSince`. */
export function newEndpointRow(
  id: EndpointId,
  config: { service: ServiceId; entry: EndpointEntry },
  slowStartSince: number,
): EndpointRow {
  return {
    id,
    ...config,
    inFlight: 0,
    slotLimit: 0,
    adaptiveLimit: config.entry.slots,
    latencyRatio: 1,
    samples: 0,
    sampledAt: -Infinity,
    consecutiveFailures: 0,
    backoffLevel: 0,
    blockedUntil: -Infinity,
    ejected: false,
    slowStartSince,
    drainingSince: undefined,
    hint: undefined,
  };
}

/** Progress of slow start, from {@link SLOW_START_MIN_FACTOR} to 1. */
export function slowStartFactor(row: EndpointRow, now: number): number {
  const progress = (now - row.slowStartSince) / SLOW_START_MS;
  return Math.min(1, Math.max(SLOW_START_MIN_FACTOR, progress));
}

/** Share of an endpoint's connections in proportion to a share of its slots. */
export function connectionShare(entry: EndpointEntry, slots: number): number {
  return Math.floor(entry.connections * slots / entry.slots);
}

/**
 * Whether the endpoint recently reported that it is not ready. The report is
 * always honoured, because requests sent to a stopping endpoint are lost.
 */
export function reportsNotReady(row: EndpointRow, now: number): boolean {
  const { hint } = row;
  return hint !== undefined && !hint.ready && now - hint.at < NOT_READY_TTL_MS;
}

/**
 * Applies what an endpoint states in a response. That it leaves holds like a
 * probe's result, until a probe or enough time says otherwise.
 */
export function applyStatement(
  row: EndpointRow,
  { retryAfterMs, leaving }: EndpointStatement,
  now: number,
): void {
  if (retryAfterMs !== undefined) {
    const until = now + Math.min(MAX_RETRY_AFTER_MS, retryAfterMs);
    row.blockedUntil = Math.max(row.blockedUntil, until);
  }
  if (!leaving) return;
  row.hint = { ready: false, reachable: true, inFlight: undefined, at: now };
}

/** Requests that may be in flight at once; never above the slot limit. */
export function concurrencyLimit(row: EndpointRow, now: number): number {
  if (row.drainingSince !== undefined || row.blockedUntil > now) return 0;
  if (reportsNotReady(row, now)) return 0;
  const hard = Math.min(
    row.slotLimit,
    connectionShare(row.entry, row.slotLimit),
  );
  const soft = Math.floor(row.adaptiveLimit * slowStartFactor(row, now));
  return Math.min(hard, Math.max(1, soft));
}

/** Slots that are free now. */
export function freeSlots(row: EndpointRow, now: number): number {
  return Math.max(0, concurrencyLimit(row, now) - row.inFlight);
}

/** Records a latency sample as its ratio to the baseline. */
export function recordLatencyRatio(
  row: EndpointRow,
  latencyRatio: number,
  now: number,
): void {
  row.latencyRatio += LATENCY_RATIO_WEIGHT * (latencyRatio - row.latencyRatio);
  row.samples += 1;
  row.sampledAt = now;
  row.adaptiveLimit = row.latencyRatio > OVERLOAD_LATENCY_RATIO
    ? Math.max(1, row.adaptiveLimit * LIMIT_DECREASE_FACTOR)
    : Math.min(
      row.entry.slots,
      row.adaptiveLimit + LIMIT_INCREASE_STEP / row.adaptiveLimit,
    );
}

/** The latency ratio, decayed towards 1 by the time since the last sample. */
export function decayedLatencyRatio(row: EndpointRow, now: number): number {
  if (row.sampledAt === -Infinity) return 1;
  const decay = 0.5 ** ((now - row.sampledAt) / LATENCY_RATIO_HALF_LIFE_MS);
  return 1 + (row.latencyRatio - 1) * decay;
}
