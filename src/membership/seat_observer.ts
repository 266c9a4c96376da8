/**
 * Tracks how long the rows of the zone's seat table have been unchanged, on
 * this instance's own clock.
 *
 * Clocks of different instances are never compared: a lease has safely expired
 * once an observer has seen the same renewal for longer than the lease.
 *
 * @module
 */
import type { SeatRow, SeatTable } from "./seat_table.ts";

interface Observation {
  readonly key: string;
  readonly since: number;
}

/** When each row's renewal and each reservation was first observed. */
export class SeatObserver {
  #rows: Observation[] = [];
  #reservations = new Map<string, number>();

  /** Records a table that is, or was, in the store. */
  observe(table: SeatTable, now: number): void {
    this.#rows = table.rows.map((row, i) => {
      const key = renewalKey(row);
      const known = this.#rows[i];
      return known?.key === key ? known : { key, since: now };
    });
    const reservations = table.rows.flatMap((row, i) =>
      row.reserved.map((r) => `${i} ${r.epoch}`)
    );
    this.#reservations = new Map(
      reservations.map((name) => [name, this.#reservations.get(name) ?? now]),
    );
  }

  /** How long a row's renewal has been unchanged, in milliseconds. */
  unchangedMs(index: number, now: number): number {
    const observation = this.#rows[index];
    return observation ? now - observation.since : 0;
  }

  /** How long a reservation has been known, in milliseconds. */
  reservedMs(index: number, epoch: number, now: number): number {
    const since = this.#reservations.get(`${index} ${epoch}`);
    return since === undefined ? 0 : now - since;
  }
}

function renewalKey(row: SeatRow): string {
  const { holder, incarnation, epoch, renewedMs } = row;
  return `${holder} ${incarnation} ${epoch} ${renewedMs}`;
}
