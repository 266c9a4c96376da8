/**
 * What every digest reports in rows: changes known, uses of accounts, requests
 * in flight, and shares set aside.
 *
 * @module
 */
import type { BinaryReader, BinaryWriter } from "@bufbuild/protobuf/wire";
import type { AccountId, EndpointId } from "../core/mod.ts";
import type { AccountUse } from "../decisions/quotas/mod.ts";
import type { NameBook } from "./name_book.ts";
import {
  readName,
  readRows,
  readWhole,
  writeName,
  writeRows,
} from "./wire_rows.ts";

/** Rates and levels are rounded to a tenth. */
const TENTHS = 10;
/** Shares are rounded to a ten-thousandth. */
const SHARE_UNITS = 10_000;

/** Field numbers of the rows in a message. */
export interface ReportFields {
  readonly changes: number;
  readonly uses: number;
  readonly inFlight: number;
  /** Messages of single instances set nothing aside. */
  readonly reserved?: number;
}

/** Rows to write. */
export interface Report {
  /** Revision of the last change that is known, by kind. */
  readonly changes: ReadonlyMap<string, number>;
  readonly uses: ReadonlyMap<AccountId, AccountUse>;
  /** Requests in flight by endpoint. */
  readonly inFlight: ReadonlyMap<EndpointId, number>;
}

/**
 * Writes a report.
 *
 * @param opts `shares` are written where the message has a field for them.
 */
export function writeReport(
  out: BinaryWriter,
  { changes, uses, inFlight }: Report,
  opts: {
    readonly fields: ReportFields;
    readonly book: NameBook;
    readonly shares?: ReadonlyMap<AccountId, number>;
  },
): void {
  const { fields, book, shares } = opts;
  writeRows(out, fields.changes, changes, (kind, revision) => {
    writeName(out, kind, book);
    out.uint64(revision);
  });
  writeRows(out, fields.uses, uses, (account, use) => {
    writeName(out, account, book);
    out.uint64(tenths(use.perS)).uint64(use.admitted);
    out.sint64(tenths(use.level));
  });
  writeRows(out, fields.inFlight, byCount(inFlight), (n, endpoints) => {
    out.uint64(n).uint32(endpoints.length);
    for (const endpoint of endpoints) writeName(out, endpoint, book);
  });
  if (fields.reserved === undefined || shares === undefined) return;
  writeRows(out, fields.reserved, shares, (account, share) => {
    writeName(out, account, book);
    // Rounded up: what is set aside must not shrink on the way.
    out.uint32(Math.ceil(share * SHARE_UNITS));
  });
}

/** A report as far as it is read; rows with names that are not known are left out. */
export class ReportDraft implements Report {
  readonly changes = new Map<string, number>();
  readonly uses = new Map<AccountId, AccountUse>();
  readonly inFlight = new Map<EndpointId, number>();
  readonly shares = new Map<AccountId, number>();
  readonly #fields: ReportFields;
  readonly #book: NameBook;

  constructor(fields: ReportFields, book: NameBook) {
    this.#fields = fields;
    this.#book = book;
  }

  /** Reads a field; gives false where it is none of a report. */
  read(field: number, reader: BinaryReader): boolean {
    const row = this.#rowOf(field);
    if (row === undefined) return false;
    readRows(reader, row);
    return true;
  }

  #rowOf(field: number): ((rows: BinaryReader) => void) | undefined {
    switch (field) {
      case this.#fields.changes:
        return (rows) => this.#change(rows);
      case this.#fields.uses:
        return (rows) => this.#use(rows);
      case this.#fields.inFlight:
        return (rows) => this.#endpoints(rows);
      case this.#fields.reserved:
        return (rows) => this.#share(rows);
      default:
        return undefined;
    }
  }

  #change(rows: BinaryReader): void {
    const kind = readName(rows, this.#book);
    const revision = readWhole(rows);
    if (kind !== undefined) this.changes.set(kind, revision);
  }

  #use(rows: BinaryReader): void {
    const account = readName(rows, this.#book);
    const use = {
      perS: readWhole(rows) / TENTHS,
      admitted: readWhole(rows),
      level: Number(rows.sint64()) / TENTHS,
    };
    if (account !== undefined) this.uses.set(account as AccountId, use);
  }

  #endpoints(rows: BinaryReader): void {
    const n = readWhole(rows);
    for (let left = rows.uint32(); left > 0; left--) {
      const endpoint = readName(rows, this.#book);
      if (endpoint !== undefined) this.inFlight.set(endpoint as EndpointId, n);
    }
  }

  #share(rows: BinaryReader): void {
    const account = readName(rows, this.#book);
    const share = rows.uint32() / SHARE_UNITS;
    if (account !== undefined) this.shares.set(account as AccountId, share);
  }
}

/** Most endpoints hold one or two requests of an instance. */
function byCount(
  inFlight: ReadonlyMap<EndpointId, number>,
): Map<number, EndpointId[]> {
  const groups = new Map<number, EndpointId[]>();
  for (const [endpoint, n] of inFlight) {
    const group = groups.get(n);
    if (group === undefined) groups.set(n, [endpoint]);
    else group.push(endpoint);
  }
  return groups;
}

function tenths(value: number): number {
  return Math.round(value * TENTHS);
}
