/**
 * A zone's counts of one hour, as they stand in the store.
 *
 * The store holds one object an hour and zone, in a ring of 74 hours, so their
 * number does not grow. Each writer's rows are totals under its own name:
 * merging what is there already changes nothing, so two members may write the
 * same by accident, and a lost answer is settled by writing again.
 *
 * @module
 */
import { Buffer } from "node:buffer";
import { z } from "zod";
import { strict } from "../core/mod.ts";
import { type BurnRow, INTERVAL_MS } from "./counts.ts";

/** Hours that the ring holds: three days, the running hour, and one to spare. */
export const RING_HOURS = 74;
const HOUR_MS = 3_600_000;
export const INTERVALS_PER_HOUR = HOUR_MS / INTERVAL_MS;
/** Above this many bytes a summary takes no further writer's rows. */
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
  /** Each writer's rows; a writer is one life of an instance. */
  writers: z.record(z.string().max(200), z.array(StoredRow).max(100_000)),
  /** Whether rows were left out for want of room. */
  truncated: z.boolean().default(false),
});
export type ZoneSummary = z.infer<typeof ZoneSummary>;

/** All summaries stand below this key. */
export const BURN_PREFIX = "status/burn/";

/** The store key of a zone's summary of an hour. */
export function summaryKey(zone: string, hour: number): string {
  return `${BURN_PREFIX}${zone}/${hour % RING_HOURS}`;
}

/** The hour that an interval lies in. */
export function hourOf(interval: number): number {
  return Math.floor(interval / INTERVALS_PER_HOUR);
}

/** An hour without any rows. */
export function emptySummary(zone: string, hour: number): ZoneSummary {
  return { zone, hour, writers: {}, truncated: false };
}

/** Reads a summary; undefined if it is broken, since a report goes on without. */
export function parseSummary(text: string): ZoneSummary | undefined {
  try {
    return ZoneSummary.safeParse(JSON.parse(text)).data;
  } catch {
    return undefined;
  }
}

/** Takes writers' rows into a summary; the larger total of a row counts. */
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

/** Every row of a summary, without its writer. */
export function rowsOf(summary: ZoneSummary): BurnRow[] {
  return Object.values(summary.writers).flat().map(fromStored);
}

function mergeRows(
  stored: readonly StoredRow[],
  rows: readonly BurnRow[],
): StoredRow[] {
  const merged = new Map(stored.map((r) => [keyOf(r), r]));
  for (const row of rows.map(toStored)) {
    const before = merged.get(keyOf(row));
    if (before === undefined || totalOf(row) >= totalOf(before)) {
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
