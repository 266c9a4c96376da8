/**
 * Conversion between seat tables and peer messages.
 *
 * @module
 */
import { create } from "@bufbuild/protobuf";
import {
  type SeatRow as SeatRowMessage,
  type SeatTable as SeatTableMessage,
  SeatTableSchema,
} from "../gen/membership_pb.ts";
import type { StoredTable } from "./seat_store.ts";
import { SeatTable } from "./seat_table.ts";

/** Encodes a stored table as a message. */
export function toMessage(zone: string, stored: StoredTable): SeatTableMessage {
  const { revision, shape, rows } = stored.table;
  const version = stored.version ?? "";
  return create(SeatTableSchema, { zone, revision, shape, version, rows });
}

/** Decodes a table from a message; undefined if it is invalid. */
export function fromMessage(
  message: SeatTableMessage,
): StoredTable | undefined {
  const { revision, shape } = message;
  const parsed = SeatTable.safeParse({
    revision,
    shape,
    rows: message.rows.map(fromRow),
  });
  if (!parsed.success || message.version === "") return undefined;
  return { table: parsed.data, version: message.version };
}

function fromRow(row: SeatRowMessage): unknown {
  const { holder, incarnation, epoch, renewedMs, seen, since } = row;
  const reserved = row.reserved.map((r) => ({ ...r }));
  return { holder, incarnation, epoch, renewedMs, seen, since, reserved };
}
