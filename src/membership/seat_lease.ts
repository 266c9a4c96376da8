/**
 * How much of its seats this instance may use: leases from the store, extended
 * by promises of the zone's other holders.
 *
 * With store leases alone, every seat would expire seconds after the store went
 * down, and all instances would refuse requests at once. If every holder that
 * may take over a seat promises not to, that is as safe as a renewal.
 *
 * @module
 */
import {
  type Holder,
  holdersOf,
  sameHolder,
  type SeatRow,
  type SeatTable,
  usablePart,
} from "./seat_table.ts";
import type { SeatTiming } from "./seat_timing.ts";

/** A promise received from a zone peer. */
export interface ReceivedPromise {
  /** When this instance requested it, on its own clock; Infinity if final. */
  readonly askedMs: number;
  readonly seats: readonly { readonly index: number; readonly epoch: number }[];
}

/** This instance's current lease on a seat. */
export interface Lease {
  readonly index: number;
  readonly epoch: number;
  readonly part: number;
  readonly until: number;
}

/** The latest promise of each holder. */
export class SeatPromiseTable {
  readonly #promises = new Map<string, ReceivedPromise>();

  /** Records the promise unless a later one is known. */
  add(from: Holder, promised: ReceivedPromise): void {
    const known = this.#promises.get(holderKey(from));
    if (known && known.askedMs > promised.askedMs) return;
    this.#promises.set(holderKey(from), promised);
  }

  /** When a holder's promise for a seat was requested; -Infinity if none. */
  askedMs(from: Holder, index: number, epoch: number): number {
    const promised = this.#promises.get(holderKey(from));
    const named = promised?.seats.some((s) =>
      s.index === index && s.epoch === epoch
    );
    return promised && named ? promised.askedMs : -Infinity;
  }

  /** Removes the promises of all but `holders`. */
  retain(holders: readonly Holder[]): void {
    const names = new Set(holders.map(holderKey));
    for (const name of this.#promises.keys()) {
      if (!names.has(name)) this.#promises.delete(name);
    }
  }
}

/**
 * The lease of `self` on one row; undefined if it holds none or the hold time
 * has ended.
 *
 * @example
 * ```ts
 * const lease = currentLease(table, 0, { self, promises, timing, now });
 * ```
 */
export function currentLease(
  table: SeatTable,
  index: number,
  { self, promises, timing, now }: {
    self: Holder;
    promises: SeatPromiseTable;
    timing: SeatTiming;
    now: number;
  },
): Lease | undefined {
  const row = table.rows[index];
  if (row === undefined || !sameHolder(row, self)) return undefined;
  const holdEnd = row.renewedMs + timing.holdMs;
  const part = usablePart(row);
  const { epoch } = row;
  const leaseEnd = Math.min(
    holdEnd,
    fullLeaseEnd(table, { row, index, self, promises, timing }),
  );
  if (now < leaseEnd) return { index, epoch, part, until: leaseEnd };
  if (now < holdEnd) {
    return { index, epoch, part: part * timing.floor, until: holdEnd };
  }
  return undefined;
}

function fullLeaseEnd(
  table: SeatTable,
  { row, index, self, promises, timing }: {
    row: SeatRow;
    index: number;
    self: Holder;
    promises: SeatPromiseTable;
    timing: SeatTiming;
  },
): number {
  const others = holdersOf(table).filter((h) => !sameHolder(h, self));
  const asked = others.map((h) => promises.askedMs(h, index, row.epoch));
  const promised = Math.min(Infinity, ...asked);
  return Math.max(row.renewedMs, promised) + timing.leaseMs;
}

function holderKey({ holder, incarnation }: Holder): string {
  return `${holder} ${incarnation}`;
}
