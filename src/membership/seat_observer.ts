/**
 * What this instance has seen of its zone's seats, and for how long it has
 * stood unchanged on this instance's own clock.
 *
 * Times of other instances are never compared: a lease has surely ended when
 * an observer saw the same renewal for longer than a lease.
 *
 * @module
 */
import type { SeatRow, SeatTable } from "./seat_table.ts";

interface Sighting {
  readonly key: string;
  readonly since: number;
}

/** First sightings of each row's renewal and of each reservation. */
export class SeatObserver {
  #rows: Sighting[] = [];
  #reservations = new Map<string, number>();

  /** Takes in a table that stands, or stood, in the store. */
  observe(table: SeatTable, now: number): void {
    this.#rows = table.rows.map((row, i) => {
      const key = sightingKey(row);
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

  /** How long a row's renewal has stood unchanged, in milliseconds. */
  unchangedMs(index: number, now: number): number {
    const sighting = this.#rows[index];
    return sighting ? now - sighting.since : 0;
  }

  /** How long a reservation has been known, in milliseconds. */
  reservedMs(index: number, epoch: number, now: number): number {
    const since = this.#reservations.get(`${index} ${epoch}`);
    return since === undefined ? 0 : now - since;
  }
}

function sightingKey(row: SeatRow): string {
  const { holder, incarnation, epoch, renewedMs } = row;
  return `${holder} ${incarnation} ${epoch} ${renewedMs}`;
}
