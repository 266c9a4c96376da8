/**
 * Who holds the seats of other zones, passed on from instance to instance:
 * each tells how new its copies are and is sent what is newer.
 *
 * @module
 */
import { create } from "@bufbuild/protobuf";
import { type SeatDigest, SeatDigestSchema } from "../gen/membership_pb.ts";
import type { StoredTable } from "./seat_store.ts";

/** Copies of other zones' tables; a copy is replaced by one of a later shape. */
export class ZoneTables {
  readonly #tables = new Map<string, StoredTable>();

  adopt(zone: string, stored: StoredTable): void {
    const known = this.#tables.get(zone);
    if (known && known.table.shape >= stored.table.shape) return;
    this.#tables.set(zone, stored);
  }

  entries(): [string, StoredTable][] {
    return [...this.#tables];
  }

  digests(): SeatDigest[] {
    return this.entries().map(([zone, { table }]) =>
      create(SeatDigestSchema, { zone, known: table.shape })
    );
  }

  /** Copies that are newer than a peer's, by what it told. */
  newerThan(known: ReadonlyMap<string, number>): [string, StoredTable][] {
    return this.entries().filter(([zone, { table }]) =>
      table.shape > (known.get(zone) ?? 0)
    );
  }
}
