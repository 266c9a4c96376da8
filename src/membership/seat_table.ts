/**
 * A zone's table of seats, as one value in the store.
 *
 * @module
 */
import { z } from "zod";

const Count = z.number().int().nonnegative();

/** Part of a seat that an earlier holder may still be using. */
export const SeatReservation = z.object({
  holder: z.string(),
  incarnation: z.string(),
  /** The epoch in which that holder had the seat. */
  epoch: Count,
  part: z.number().min(0).max(1),
});
export type SeatReservation = z.infer<typeof SeatReservation>;

/** One seat; its index is its place in the table. */
export const SeatRow = z.object({
  /** Empty when nobody has the seat. */
  holder: z.string(),
  incarnation: z.string(),
  epoch: Count,
  /** When the holder last asked for renewal, on the holder's own clock. */
  renewedMs: z.number().nonnegative(),
  /** The newest table its holder knew when it asked. */
  seen: Count,
  /** The revision since which this holder has had a seat without a break. */
  since: Count,
  reserved: z.array(SeatReservation),
});
export type SeatRow = z.infer<typeof SeatRow>;

/** All seats of a zone. */
export const SeatTable = z.object({
  /** Rises by one with each write. */
  revision: Count,
  /** The revision at which a holder last changed. */
  shape: Count,
  rows: z.array(SeatRow).max(1_000),
});
export type SeatTable = z.infer<typeof SeatTable>;

/** One life of an instance. */
export interface Holder {
  readonly holder: string;
  readonly incarnation: string;
}

/** Somebody who asks for renewal. */
export interface Ask extends Holder {
  readonly askedMs: number;
  readonly seen: number;
}

/** The store key of a zone's table. */
export function seatsKey(zone: string): string {
  return `seats/${zone}`;
}

/** What a zone starts from. */
export const EMPTY_TABLE: SeatTable = { revision: 0, shape: 0, rows: [] };

const EMPTY_ROW: SeatRow = {
  holder: "",
  incarnation: "",
  epoch: 0,
  renewedMs: 0,
  seen: 0,
  since: 0,
  reserved: [],
};

/** Whether two names are the same life of an instance. */
export function sameHolder(a: Holder, b: Holder): boolean {
  return a.holder === b.holder && a.incarnation === b.incarnation;
}

/** Every life that has a seat, each once. */
export function holdersOf(table: SeatTable): Holder[] {
  const held = table.rows.filter((r) => r.holder !== "");
  return held.filter((r, i) => held.findIndex((o) => sameHolder(o, r)) === i);
}

/** How many seats a life of an instance has. */
export function seatCount(rows: readonly SeatRow[], of: Holder): number {
  return rows.filter((r) => sameHolder(r, of)).length;
}

/** The part of a seat that its holder may use, from 0 to 1. */
export function usablePart(row: SeatRow): number {
  return Math.max(0, row.reserved.reduce((n, r) => n - r.part, 1));
}

/** Rows for `seats` seats; what is above is dropped, what lacks is empty. */
export function resizeRows(rows: readonly SeatRow[], seats: number): SeatRow[] {
  return Array.from({ length: seats }, (_, i) => rows[i] ?? EMPTY_ROW);
}

/** A row whose holder is now `to`, as from revision `revision`. */
export function assignRow(
  rows: readonly SeatRow[],
  index: number,
  { to, revision }: { to: Ask; revision: number },
): SeatRow {
  const row = rows[index] ?? EMPTY_ROW;
  const already = rows.find((r) => sameHolder(r, to));
  return {
    holder: to.holder,
    incarnation: to.incarnation,
    epoch: row.epoch + 1,
    renewedMs: to.askedMs,
    seen: to.seen,
    since: already?.since ?? revision,
    reserved: row.reserved,
  };
}

/** A row that its holder gave up. */
export function releaseRow(row: SeatRow): SeatRow {
  return { ...EMPTY_ROW, epoch: row.epoch + 1, reserved: row.reserved };
}

/** A row of which the holder that fell silent keeps its floor. */
export function reserveFloor(row: SeatRow, floor: number): SeatRow {
  const { holder, incarnation, epoch } = row;
  const part = usablePart(row) * floor;
  const reservation = { holder, incarnation, epoch, part };
  return { ...row, reserved: [...row.reserved, reservation] };
}
