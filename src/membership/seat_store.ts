/**
 * Store access to a zone's seat table: reads and conditional writes.
 *
 * @module
 */
import { err, ok, type Result } from "neverthrow";
import { fail, type Failure, type Metrics } from "../core/mod.ts";
import type { Platform, PutCondition } from "../store/mod.ts";
import { EMPTY_TABLE, seatsKey, SeatTable } from "./seat_table.ts";

/** A table and its store version; undefined if the store has none. */
export interface StoredTable {
  readonly table: SeatTable;
  readonly version: string | undefined;
}

/** Dependencies of `SeatStore`. */
export interface SeatStoreDeps {
  readonly platform: Platform;
  readonly metrics: Metrics;
  readonly zone: string;
}

/** One zone's table in the store. */
export class SeatStore {
  readonly #deps: SeatStoreDeps;

  constructor(deps: SeatStoreDeps) {
    this.#deps = deps;
  }

  /** Reads the table; fails as the platform does, `internal` if invalid. */
  async read(): Promise<Result<StoredTable, Failure>> {
    const found = await this.#deps.platform.get(seatsKey(this.#deps.zone));
    if (found.isErr()) return err(found.error);
    if (found.value === undefined) {
      return ok({ table: EMPTY_TABLE, version: undefined });
    }
    const { value, version } = found.value;
    return parseTable(value).map((table) => ({ table, version }));
  }

  /** Writes `table` if the store still has `version`. */
  async write(
    table: SeatTable,
    version: string | undefined,
  ): Promise<Result<StoredTable, Failure>> {
    const condition: PutCondition = version === undefined
      ? { ifAbsent: true }
      : { ifVersion: version };
    const { platform, metrics, zone } = this.#deps;
    const put = await platform.put(
      seatsKey(zone),
      JSON.stringify(table),
      condition,
    );
    metrics.count("seats.writes", {
      result: put.isOk() ? "ok" : put.error.code,
    });
    return put.map((next) => ({ table, version: next }));
  }
}

function parseTable(text: string): Result<SeatTable, Failure> {
  try {
    const parsed = SeatTable.safeParse(JSON.parse(text));
    if (parsed.success) return ok(parsed.data);
  } catch {
    // Invalid JSON is reported in the same way as an invalid table.
  }
  return fail("internal", "the zone's seat table in the store is not valid");
}
