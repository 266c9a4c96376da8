/**
 * A zone's seat table, stored as one value.
 *
 * @module
 */
import { z } from "zod";

const Count = z.number().int().nonnegative();

/** Part of a seat that an earlier holder may still be using. */
export const SeatReservation = z.object({
  holder: z.string(),
  incarnation: z.string(),
  /** The epoch in which that holder held the seat. */
  epoch: Count,
  part: z.number().min(0).max(1),
});
export type SeatReservation = z.infer<typeof SeatReservation>;

/** One seat; its position in the table is its index. */
export const SeatRow = z.object({
  /** Empty if the seat is vacant. */
  holder: z.string(),
  incarnation: z.string(),
  epoch: Count,
  /** When the holder last requested renewal, on the holder's own clock. */
  renewedMs: z.number().nonnegative(),
  /** The latest revision that the holder had seen when it requested renewal. */
  seen: Count,
  /** The revision since which this holder has held at least one seat. */
  since: Count,
  reserved: z.array(SeatReservation),
});
export type SeatRow = z.infer<typeof SeatRow>;

/** All seats of a zone. */
export const SeatTable = z.object({
  /** Increases by one with each write. */
  revision: Count,
  /** The revision at which a holder last changed. */
  shape: Count,
  rows: z.array(SeatRow).max(1_000),
});
export type SeatTable = z.infer<typeof SeatTable>;

/** An incarnation of an instance. */
export interface Holder {
  readonly holder: string;
  readonly incarnation: string;
}

/** A holder's request for renewal of its seats. */
export interface RenewalRequest extends Holder {
  readonly askedMs: number;
  readonly seen: number;
}

/** The store key of a zone's table. */
export function seatsKey(zone: string): string {
  return `seats/${zone}`;
}

/** The table of a zone that has none in the store. */
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

/** Whether two holders are the same incarnation of an instance. */
export function sameHolder(a: Holder, b: Holder): boolean {
  return a.holder === b.holder && a.incarnation === b.incarnation;
}

/** The distinct holders in a table. */
export function holdersOf(table: SeatTable): Holder[] {
  const held = table.rows.filter((r) => r.holder !== "");
  return held.filter((r, i) => held.findIndex((o) => sameHolder(o, r)) === i);
}

/** How many seats a holder has. */
export function seatCount(rows: readonly SeatRow[], of: Holder): number {
  return rows.filter((r) => sameHolder(r, of)).length;
}

/** The part of a seat that its holder may use, from 0 to 1. */
export function usablePart(row: SeatRow): number {
  return Math.max(0, row.reserved.reduce((n, r) => n - r.part, 1));
}

/** Truncates the rows to `seats`, or extends them with vacant rows. */
export function resizeRows(rows: readonly SeatRow[], seats: number): SeatRow[] {
  return Array.from({ length: seats }, (_, i) => rows[i] ?? EMPTY_ROW);
}

/** The row at `index`, assigned to `to` at `revision`. */
export function assignRow(
  rows: readonly SeatRow[],
  index: number,
  { to, revision }: { to: RenewalRequest; revision: number },
): SeatRow {
  const row = rows[index] ?? EMPTY_ROW;
  const existing = rows.find((r) => sameHolder(r, to));
  return {
    holder: to.holder,
    incarnation: to.incarnation,
    epoch: row.epoch + 1,
    renewedMs: to.askedMs,
    seen: to.seen,
    since: existing?.since ?? revision,
    reserved: row.reserved,
  };
}

/** The row after its holder released it. */
export function releaseRow(row: SeatRow): SeatRow {
  return { ...EMPTY_ROW, epoch: row.epoch + 1, reserved: row.reserved };
}

/** The row with the floor of its silent holder reserved. */
export function reserveFloor(row: SeatRow, floor: number): SeatRow {
  const { holder, incarnation, epoch } = row;
  const part = usablePart(row) * floor;
  const reservation = { holder, incarnation, epoch, part };
  return { ...row, reserved: [...row.reserved, reservation] };
}
