/**
 * Fake seats in one shared table, for tests of the budgets divided by them:
 * leases on the holder's clock, take-over after expiry, hand-over after a
 * vacancy, and a store that can be down.
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

/** The table shared by all processes. */
export class SeatTable {
  readonly rows: SeatRow[] = [];
  down = false;

  /** Adds seats until the zone has this many; never removes one. */
  ensureSeats(zone: string, seats: number): void {
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

/** Dependencies of {@link FakeSeats}. */
export interface FakeSeatsDeps {
  readonly table: SeatTable;
  readonly clock: ProcessClock;
  readonly instance: string;
  readonly incarnation: string;
  readonly zone: string;
  /** How long requests and loans of a former holder may last, in milliseconds. */
  readonly seatVacancyMs: number;
  readonly seats: () => number;
}

/** One process's view of the table. */
export class FakeSeats implements SeatDirectory {
  readonly #deps: FakeSeatsDeps;
  readonly #until = new Map<SeatRow, number>();
  readonly #seen = new Map<SeatRow, { renewals: number; at: number }>();
  readonly #handingOver = new Set<SeatRow>();

  constructor(deps: FakeSeatsDeps) {
    this.#deps = deps;
  }

  held(now: number): HeldSeat[] {
    return this.#own().flatMap((row) => {
      const until = this.#until.get(row) ?? -Infinity;
      if (now >= until || this.#handingOver.has(row)) return [];
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

  /** Renews own seats and takes over expired ones; called once per tick. */
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

  /** Stops using a seat and assigns it to another instance after the vacancy. */
  handOver(to: { instance: string; incarnation: string }): void {
    const row = this.#own().find((r) => !this.#handingOver.has(r));
    if (row === undefined) return;
    this.#handingOver.add(row);
    const { seatVacancyMs, clock, table } = this.#deps;
    clock.after(seatVacancyMs, () => {
      this.#handingOver.delete(row);
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
    const { seatVacancyMs } = this.#deps;
    const sinceRenewalMs = now - (this.#seen.get(row)?.at ?? now);
    const free = row.holder === "";
    if (free && this.#own().length > 0 && sinceRenewalMs < LEASE_MS) return;
    if (!free && sinceRenewalMs < LEASE_MS + MARGIN_MS + seatVacancyMs) return;
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
