/**
 * A zone's counts of one hour, as stored.
 *
 * The store holds one object per hour and zone in a ring of 74 hours, so the
 * number of objects is bounded. Rows are totals per writer and merging is
 * idempotent, so two instances may write the same rows, and a write of unknown
 * outcome can simply be repeated.
 *
 * @module
 */
import { Buffer } from "node:buffer";
import { z } from "zod";
import { strict } from "../core/mod.ts";
import { type BurnRow, INTERVAL_MS } from "./counts.ts";

/** Hours in the ring: three days, the current hour and one spare. */
export const RING_HOURS = 74;
const HOUR_MS = 3_600_000;
export const INTERVALS_PER_HOUR = HOUR_MS / INTERVAL_MS;
/** Rows that would make a summary larger than this many bytes are omitted. */
export const MAX_SUMMARY_BYTES = 900_000;

const Count = z.number().int().nonnegative().max(4_294_967_295);

/** Interval, service, account, good, slow, refused, causes. */
const StoredRow = z.tuple([
  z.number().int().nonnegative(),
  z.string().max(64),
  z.string().max(64),
  Count,
  Count,
  Count,
  z.record(z.string().max(64), Count),
]);
type StoredRow = z.infer<typeof StoredRow>;

/** A zone's summary of one hour. */
export const ZoneSummary = strict({
  zone: z.string().max(64),
  /** Hours since the Unix epoch. */
  hour: z.number().int().nonnegative(),
  /** Rows by writer; a writer is an incarnation of an instance. */
  writers: z.record(z.string().max(200), z.array(StoredRow).max(100_000)),
  /** Whether rows were omitted because of the size limit. */
  truncated: z.boolean().default(false),
});
export type ZoneSummary = z.infer<typeof ZoneSummary>;

/** Key prefix of all summaries. */
export const BURN_PREFIX = "status/burn/";

/** The store key of a zone's summary of an hour. */
export function summaryKey(zone: string, hour: number): string {
  return `${BURN_PREFIX}${zone}/${hour % RING_HOURS}`;
}

/** The hour that contains an interval. */
export function hourOf(interval: number): number {
  return Math.floor(interval / INTERVALS_PER_HOUR);
}

/** A summary without rows. */
export function emptySummary(zone: string, hour: number): ZoneSummary {
  return { zone, hour, writers: {}, truncated: false };
}

/** Parses a summary; undefined if invalid, since a report can do without it. */
export function parseSummary(text: string): ZoneSummary | undefined {
  try {
    return ZoneSummary.safeParse(JSON.parse(text)).data;
  } catch {
    return undefined;
  }
}

/** Merges writers' rows into a summary; per key the larger total wins. */
export function mergeSummary(
  summary: ZoneSummary,
  writers: ReadonlyMap<string, readonly BurnRow[]>,
): ZoneSummary {
  let merged = summary;
  for (const [writer, rows] of writers) {
    const own = rows.filter((r) => hourOf(r.interval) === summary.hour);
    if (own.length === 0) continue;
    const next = {
      ...merged,
      writers: {
        ...merged.writers,
        [writer]: mergeRows(merged.writers[writer] ?? [], own),
      },
    };
    const fits = Buffer.byteLength(JSON.stringify(next)) <= MAX_SUMMARY_BYTES;
    merged = fits ? next : { ...merged, truncated: true };
  }
  return merged;
}

/** All rows of a summary, without their writers. */
export function rowsOf(summary: ZoneSummary): BurnRow[] {
  return Object.values(summary.writers).flat().map(fromStored);
}

function mergeRows(
  stored: readonly StoredRow[],
  rows: readonly BurnRow[],
): StoredRow[] {
  const merged = new Map(stored.map((r) => [keyOf(r), r]));
  for (const row of rows.map(toStored)) {
    const existing = merged.get(keyOf(row));
    if (existing === undefined || totalOf(row) >= totalOf(existing)) {
      merged.set(keyOf(row), row);
    }
  }
  return [...merged.values()];
}

function keyOf([interval, service, account]: StoredRow): string {
  return `${interval} ${service} ${account}`;
}

function totalOf(row: StoredRow): number {
  const [, , , good, , refused, causes] = row;
  const bad = Object.values(causes).reduce((sum, n) => sum + n, 0);
  return good + refused + bad;
}

function toStored(row: BurnRow): StoredRow {
  const { interval, service, account, good, slow, refused, causes } = row;
  return [interval, service, account, good, slow, refused, { ...causes }];
}

function fromStored(row: StoredRow): BurnRow {
  const [interval, service, account, good, slow, refused, causes] = row;
  return { interval, service, account, good, slow, refused, causes };
}
