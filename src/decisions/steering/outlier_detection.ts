/**
 * Outlier detection: blocks endpoints that fail, shed load or are much slower
 * than the others of the service.
 *
 * Handles endpoints that fail although they report to be ready. Without it all
 * requests sent to one fail or time out, a constant fraction of the total. Only
 * part of a pool may be ejected: if many endpoints look bad, the cause is more
 * likely load or this instance's network, and ejecting would overload the rest.
 *
 * @module
 */
import type { Random } from "../../core/mod.ts";
import type { WorkResult } from "./dispatcher.ts";
import { decayedLatencyRatio, type EndpointRow } from "./endpoint_row.ts";

/** Consecutive failures that eject: one may be chance, five hardly. */
const EJECT_CONSECUTIVE_FAILURES = 5;
/** Allows one ejection in a pool of two and none in a pool of one. */
const MAX_EJECTED_RATIO = 0.5;
/** Lower, because a slow endpoint still serves requests. */
const MAX_EJECTED_SLOW_RATIO = 0.34;
/** Multiple of the pool's median latency ratio; cold caches stay below it. */
const EJECT_LATENCY_MULTIPLE = 4;
/** Samples before an endpoint can be ejected for its latency. */
const EJECT_MIN_SAMPLES = 10;
/** Long enough for a restart; repeated ejections last up to six times this. */
const BASE_EJECTION_MS = 5_000;
const MAX_BACKOFF_LEVEL = 6;
/** A shedding endpoint frees slots in about this time, so retry it soon. */
const BASE_SHED_BACKOFF_MS = 50;
const MAX_SHED_BACKOFF_MS = 1_000;

/** Updates the row with the result of a request. */
export function recordResult(
  rows: readonly EndpointRow[],
  row: EndpointRow,
  { result, now, random }: { result: WorkResult; now: number; random: Random },
): void {
  if (result === "ok") return recordSuccess(rows, row, now);
  if (result === "cancelled") return;
  row.consecutiveFailures += 1;
  if (result === "shed") return backOff(row, now, random);
  if (row.consecutiveFailures < EJECT_CONSECUTIVE_FAILURES) return;
  if (mayEject(rows, now, MAX_EJECTED_RATIO)) eject(row, now);
}

function recordSuccess(
  rows: readonly EndpointRow[],
  row: EndpointRow,
  now: number,
): void {
  row.consecutiveFailures = 0;
  if (row.blockedUntil > now) return;
  row.ejected = false;
  row.backoffLevel = 0;
  if (row.samples < EJECT_MIN_SAMPLES) return;
  if (
    row.latencyRatio < EJECT_LATENCY_MULTIPLE * medianLatencyRatio(rows, now)
  ) return;
  if (mayEject(rows, now, MAX_EJECTED_SLOW_RATIO)) eject(row, now);
}

function backOff(row: EndpointRow, now: number, random: Random): void {
  row.adaptiveLimit = Math.max(1, Math.min(row.adaptiveLimit, row.inFlight));
  const ms = Math.min(
    MAX_SHED_BACKOFF_MS,
    BASE_SHED_BACKOFF_MS * 2 ** row.backoffLevel,
  );
  row.backoffLevel = Math.min(MAX_BACKOFF_LEVEL, row.backoffLevel + 1);
  const until = now + ms * (0.5 + random.next());
  row.blockedUntil = Math.max(row.blockedUntil, until);
}

function eject(row: EndpointRow, now: number): void {
  row.backoffLevel = Math.min(MAX_BACKOFF_LEVEL, row.backoffLevel + 1);
  const until = now + BASE_EJECTION_MS * row.backoffLevel;
  row.blockedUntil = Math.max(row.blockedUntil, until);
  row.ejected = true;
  row.slowStartSince = row.blockedUntil;
  row.consecutiveFailures = 0;
  row.samples = 0;
}

function mayEject(
  rows: readonly EndpointRow[],
  now: number,
  maxRatio: number,
): boolean {
  const ejected = rows.filter((r) => r.ejected && r.blockedUntil > now).length;
  return ejected + 1 <= Math.floor(rows.length * maxRatio);
}

function medianLatencyRatio(rows: readonly EndpointRow[], now: number): number {
  const sorted = rows.map((r) => decayedLatencyRatio(r, now)).sort((a, b) =>
    a - b
  );
  return sorted[Math.floor((sorted.length - 1) / 2)] ?? 1;
}
