/**
 * Which endpoints get no work for a while: those that fail, shed or are far
 * slower than their peers.
 *
 * Answers a dying or lying endpoint. Without it every request that falls to
 * one fails or waits out its deadline, which shows as a constant part of
 * requests failing. At most part of a pool is ejected: where many endpoints
 * look bad the cause is more likely load or this instance's own network, and
 * ejecting them all would pour the work on the few left.
 *
 * @module
 */
import type { Random } from "../../core/mod.ts";
import type { WorkResult } from "./dispatcher.ts";
import { type EndpointRow, stretchNow } from "./endpoint_row.ts";

/** Failures in a row that eject: one alone may be chance, five hardly. */
const EJECT_FAILURES = 5;
/** Half of a pool of two may go, none of a pool of one. */
const MAX_EJECTED = 0.5;
/** A slow endpoint still answers, so fewer may go for slowness. */
const MAX_EJECTED_SLOW = 0.34;
/** Stretch against the pool's median; cold caches stay below it. */
const EJECT_STRETCH = 4;
/** Answers before slowness is judged. */
const EJECT_SAMPLES = 10;
/** Long enough for a restart; repeated ejections last up to six times this. */
const EJECT_MS = 5_000;
const MAX_SETBACKS = 6;
/** A shedding endpoint is asked again soon: its slots turn over in this time. */
const SHED_MS = 50;
const MAX_SHED_MS = 1_000;

/** Takes in how work at the row ended. */
export function judge(
  rows: readonly EndpointRow[],
  row: EndpointRow,
  { result, now, random }: { result: WorkResult; now: number; random: Random },
): void {
  if (result === "ok") return recover(rows, row, now);
  if (result === "cancelled") return;
  row.failures += 1;
  if (result === "shed") return backOff(row, now, random);
  if (row.failures < EJECT_FAILURES) return;
  if (mayEject(rows, now, MAX_EJECTED)) eject(row, now);
}

function recover(
  rows: readonly EndpointRow[],
  row: EndpointRow,
  now: number,
): void {
  row.failures = 0;
  if (row.blockedUntil > now) return;
  row.ejected = false;
  row.setbacks = 0;
  if (row.samples < EJECT_SAMPLES) return;
  if (row.stretch < EJECT_STRETCH * medianStretch(rows, now)) return;
  if (mayEject(rows, now, MAX_EJECTED_SLOW)) eject(row, now);
}

function backOff(row: EndpointRow, now: number, random: Random): void {
  row.learned = Math.max(1, Math.min(row.learned, row.inFlight));
  const ms = Math.min(MAX_SHED_MS, SHED_MS * 2 ** row.setbacks);
  row.setbacks = Math.min(MAX_SETBACKS, row.setbacks + 1);
  const until = now + ms * (0.5 + random.next());
  row.blockedUntil = Math.max(row.blockedUntil, until);
}

function eject(row: EndpointRow, now: number): void {
  row.setbacks = Math.min(MAX_SETBACKS, row.setbacks + 1);
  row.blockedUntil = now + EJECT_MS * row.setbacks;
  row.ejected = true;
  row.coldSince = row.blockedUntil;
  row.failures = 0;
  row.samples = 0;
}

function mayEject(
  rows: readonly EndpointRow[],
  now: number,
  part: number,
): boolean {
  const out = rows.filter((r) => r.ejected && r.blockedUntil > now).length;
  return out + 1 <= Math.floor(rows.length * part);
}

function medianStretch(rows: readonly EndpointRow[], now: number): number {
  const sorted = rows.map((r) => stretchNow(r, now)).sort((a, b) => a - b);
  return sorted[Math.floor((sorted.length - 1) / 2)] ?? 1;
}
