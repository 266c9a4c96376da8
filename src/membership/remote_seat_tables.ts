/**
 * Seat tables of other zones, spread by gossip: each instance sends digests
 * of its copies and receives newer ones.
 *
 * @module
 */
import { create } from "@bufbuild/protobuf";
import { type SeatDigest, SeatDigestSchema } from "../gen/membership_pb.ts";
import type { StoredTable } from "./seat_store.ts";

/** Copies of other zones' tables; a copy with a later `shape` replaces one. */
export class RemoteSeatTables {
  readonly #tables = new Map<string, StoredTable>();

  put(zone: string, stored: StoredTable): void {
    const existing = this.#tables.get(zone);
    if (existing && existing.table.shape >= stored.table.shape) return;
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

  /** Copies that are newer than those in a peer's digests. */
  newerThan(known: ReadonlyMap<string, number>): [string, StoredTable][] {
    return this.entries().filter(([zone, { table }]) =>
      table.shape > (known.get(zone) ?? 0)
    );
  }
}
