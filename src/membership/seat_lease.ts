/**
 * What this instance may use of its seats: leases by the store, prolonged by
 * promises of the zone's other holders.
 *
 * Pattern it answers: the store is slow or down for long while the zone works.
 * With store leases alone every seat would end seconds after the store did,
 * which shows as refusals everywhere at once. All who may take a seat over
 * promise not to; as long as all of them do, it is as safe as a renewal.
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

/** A promise as it came back from a mate. */
export interface Promised {
  /** When this instance asked for it, on its own clock; Infinity if it lasts. */
  readonly askedMs: number;
  readonly seats: readonly { readonly index: number; readonly epoch: number }[];
}

/** A seat this instance may use now. */
export interface Lease {
  readonly index: number;
  readonly epoch: number;
  readonly part: number;
  readonly until: number;
}

/** Promises by holder. */
export class PromiseBook {
  readonly #promises = new Map<string, Promised>();

  /** Keeps the promise unless a later one is there. */
  add(from: Holder, promised: Promised): void {
    const known = this.#promises.get(nameOf(from));
    if (known && known.askedMs > promised.askedMs) return;
    this.#promises.set(nameOf(from), promised);
  }

  /** When the holder's promise for a seat was asked for; -Infinity without. */
  askedMs(from: Holder, index: number, epoch: number): number {
    const promised = this.#promises.get(nameOf(from));
    const named = promised?.seats.some((s) =>
      s.index === index && s.epoch === epoch
    );
    return promised && named ? promised.askedMs : -Infinity;
  }

  /** Forgets holders that no table names. */
  keep(holders: readonly Holder[]): void {
    const names = new Set(holders.map(nameOf));
    for (const name of this.#promises.keys()) {
      if (!names.has(name)) this.#promises.delete(name);
    }
  }
}

/**
 * The lease on one row of which `self` is the holder; undefined once nothing
 * of it may be used.
 *
 * @example
 * ```ts
 * const lease = leaseOn(table, 0, { self, promises, timing, now });
 * ```
 */
export function leaseOn(
  table: SeatTable,
  index: number,
  { self, promises, timing, now }: {
    self: Holder;
    promises: PromiseBook;
    timing: SeatTiming;
    now: number;
  },
): Lease | undefined {
  const row = table.rows[index];
  if (row === undefined || !sameHolder(row, self)) return undefined;
  const last = row.renewedMs + timing.holdMs;
  const part = usablePart(row);
  const { epoch } = row;
  const full = Math.min(
    last,
    fullUntil(table, { row, index, self, promises, timing }),
  );
  if (now < full) return { index, epoch, part, until: full };
  if (now < last) {
    return { index, epoch, part: part * timing.floor, until: last };
  }
  return undefined;
}

function fullUntil(
  table: SeatTable,
  { row, index, self, promises, timing }: {
    row: SeatRow;
    index: number;
    self: Holder;
    promises: PromiseBook;
    timing: SeatTiming;
  },
): number {
  const others = holdersOf(table).filter((h) => !sameHolder(h, self));
  const asked = others.map((h) => promises.askedMs(h, index, row.epoch));
  const promised = Math.min(Infinity, ...asked);
  return Math.max(row.renewedMs, promised) + timing.leaseMs;
}

function nameOf({ holder, incarnation }: Holder): string {
  return `${holder} ${incarnation}`;
}
