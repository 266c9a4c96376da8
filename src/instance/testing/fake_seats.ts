/**
 * Seats kept in one shared table, for tests of what is divided over them:
 * leases on the holder's clock, take-over after a silence, hand-over after a
 * rest, and a store that can be down.
 *
 * @module
 */
import type { InstanceId, ZoneId } from "../../core/mod.ts";
import type {
  HeldSeat,
  SeatDirectory,
  SeatEntry,
} from "../../membership/mod.ts";
import type { ProcessClock } from "./virtual_time.ts";

interface SeatRow {
  readonly zone: string;
  readonly index: number;
  holder: string;
  incarnation: string;
  epoch: number;
  renewals: number;
}

const LEASE_MS = 2_000;
const MARGIN_MS = 400;

/** The table that all processes share. */
export class SeatTable {
  readonly rows: SeatRow[] = [];
  down = false;

  /** Makes sure that the zone has so many seats; never takes one away. */
  ensure(zone: string, seats: number): void {
    for (let index = 0; index < seats; index++) {
      if (this.rows.some((r) => r.zone === zone && r.index === index)) continue;
      this.rows.push({
        zone,
        index,
        holder: "",
        incarnation: "",
        epoch: 0,
        renewals: 0,
      });
    }
  }
}

/** What one process's view needs. */
export interface FakeSeatsDeps {
  readonly table: SeatTable;
  readonly clock: ProcessClock;
  readonly instance: string;
  readonly incarnation: string;
  readonly zone: string;
  /** How long work and loans of a former holder may last, in milliseconds. */
  readonly restMs: number;
  readonly seats: () => number;
}

/** One process's view of the table. */
export class FakeSeats implements SeatDirectory {
  readonly #deps: FakeSeatsDeps;
  readonly #until = new Map<SeatRow, number>();
  readonly #seen = new Map<SeatRow, { renewals: number; at: number }>();
  readonly #giving = new Set<SeatRow>();

  constructor(deps: FakeSeatsDeps) {
    this.#deps = deps;
  }

  held(now: number): HeldSeat[] {
    return this.#own().flatMap((row) => {
      const until = this.#until.get(row) ?? -Infinity;
      if (now >= until || this.#giving.has(row)) return [];
      const { index, epoch } = row;
      return [{ zone: row.zone as ZoneId, index, epoch, part: 1, until }];
    });
  }

  entries(): SeatEntry[] {
    return this.#deps.table.rows.map((row) => ({
      ...row,
      zone: row.zone as ZoneId,
      holder: row.holder === "" ? undefined : row.holder as InstanceId,
    }));
  }

  /** Renews own seats and takes over silent ones; once a tick. */
  run(_now: number): void {
    const { table, zone, clock } = this.#deps;
    if (table.down) return;
    const now = clock.now();
    for (const row of table.rows) {
      if (row.zone !== zone || row.index >= this.#deps.seats()) continue;
      if (this.#isOwn(row)) this.#renew(row, now);
      else this.#observe(row, now);
    }
  }

  /** Stops using a seat and gives it to another instance after the rest. */
  handOver(to: { instance: string; incarnation: string }): void {
    const row = this.#own().find((r) => !this.#giving.has(r));
    if (row === undefined) return;
    this.#giving.add(row);
    const { restMs, clock, table } = this.#deps;
    clock.after(restMs, () => {
      this.#giving.delete(row);
      if (table.down || !this.#isOwn(row)) return;
      assign(row, to.instance, to.incarnation);
    });
  }

  #own(): SeatRow[] {
    return this.#deps.table.rows.filter((row) => this.#isOwn(row));
  }

  #isOwn(row: SeatRow): boolean {
    return row.holder === this.#deps.instance &&
      row.incarnation === this.#deps.incarnation;
  }

  #renew(row: SeatRow, now: number): void {
    row.renewals += 1;
    this.#until.set(row, now + LEASE_MS);
  }

  #observe(row: SeatRow, now: number): void {
    const seen = this.#seen.get(row);
    if (seen === undefined || seen.renewals !== row.renewals) {
      this.#seen.set(row, { renewals: row.renewals, at: now });
      if (row.holder !== "") return;
    }
    const { restMs } = this.#deps;
    const silentMs = now - (this.#seen.get(row)?.at ?? now);
    const free = row.holder === "";
    if (free && this.#own().length > 0 && silentMs < LEASE_MS) return;
    if (!free && silentMs < LEASE_MS + MARGIN_MS + restMs) return;
    assign(row, this.#deps.instance, this.#deps.incarnation);
    this.#renew(row, now);
  }
}

function assign(row: SeatRow, holder: string, incarnation: string): void {
  row.holder = holder;
  row.incarnation = incarnation;
  row.epoch += 1;
  row.renewals += 1;
}
