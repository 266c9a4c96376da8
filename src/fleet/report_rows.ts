/**
 * What every digest reports: whose it is, changes known, uses of accounts and
 * requests in flight; sums of several instances also what is set aside.
 *
 * @module
 */
import {
  type BinaryReader,
  type BinaryWriter,
  WireType,
} from "@bufbuild/protobuf/wire";
import type { EndpointId } from "../core/mod.ts";
import type { RatedId, RateUse, Reserved } from "../decisions/quotas/mod.ts";
import { isName } from "./digest_rows.ts";
import {
  type AgedLimit,
  type AgedLimits,
  readLimit,
  writeLimits,
} from "./limit_rows.ts";
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

/** Field numbers of a report in a message; the last ones are those of sums. */
export interface ReportFields {
  readonly start: number;
  readonly seq: number;
  readonly changes: number;
  readonly uses: number;
  readonly inFlight: number;
  readonly limits: number;
  readonly instances?: number;
  readonly storeInTouch?: number;
  readonly reservedInstances?: number;
  readonly reserved?: number;
}

/** What every digest reports. */
export interface Report {
  /** Differs with each start of the sender. */
  readonly start: string;
  /** Counts up with each message of a start. */
  readonly seq: number;
  /** Revision of the last change that is known, by kind. */
  readonly changes: ReadonlyMap<string, number>;
  readonly uses: ReadonlyMap<RatedId, RateUse>;
  /** Requests in flight by endpoint. */
  readonly inFlight: ReadonlyMap<EndpointId, number>;
  /** Limits that endpoints named, or ceased to name, lately. */
  readonly limits: AgedLimits;
}

/** A report that sums several instances. */
export interface SumsReport extends Report {
  /** Instances whose uses are in the sums. */
  readonly instances: number;
  /** Whether an instance that watches the store is answered. */
  readonly storeInTouch: boolean;
  /** What is set aside for instances that are not heard. */
  readonly reserved: Reserved;
}

/** How a report is written. */
export interface WriteReportOptions {
  readonly fields: ReportFields;
  readonly book: NameBook;
}

/** Writes the report of one instance. */
export function writeReport(
  out: BinaryWriter,
  { start, seq, changes, uses, inFlight, limits }: Report,
  { fields, book }: WriteReportOptions,
): void {
  out.tag(fields.start, WireType.LengthDelimited).string(start);
  out.tag(fields.seq, WireType.Varint).uint64(seq);
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
  writeLimits(out, limits, { field: fields.limits, book });
}

/** Writes a report that sums several instances. */
export function writeSumsReport(
  out: BinaryWriter,
  report: SumsReport,
  { fields, book }: {
    readonly fields: Required<ReportFields>;
    readonly book: NameBook;
  },
): void {
  const { instances, storeInTouch, reserved } = report;
  writeReport(out, report, { fields, book });
  out.tag(fields.instances, WireType.Varint).uint32(instances);
  out.tag(fields.storeInTouch, WireType.Varint).bool(storeInTouch);
  out.tag(fields.reservedInstances, WireType.Varint).uint32(reserved.instances);
  writeRows(out, fields.reserved, reserved.shares, (account, share) => {
    writeName(out, account, book);
    // Rounded up: what is set aside must not shrink on the way.
    out.uint32(Math.ceil(share * SHARE_UNITS));
  });
}

/** A report as far as it is read; rows with names that are not known are left out. */
export class ReportDraft implements SumsReport {
  start = "";
  seq = -1;
  instances = 0;
  storeInTouch = false;
  readonly changes = new Map<string, number>();
  readonly uses = new Map<RatedId, RateUse>();
  readonly inFlight = new Map<EndpointId, number>();
  readonly limits = new Map<EndpointId, AgedLimit>();
  readonly #shares = new Map<RatedId, number>();
  #reservedInstances = 0;
  readonly #fields: ReportFields;
  readonly #book: NameBook;

  constructor(fields: ReportFields, book: NameBook) {
    this.#fields = fields;
    this.#book = book;
  }

  get reserved(): Reserved {
    return { shares: this.#shares, instances: this.#reservedInstances };
  }

  /** Whether it says which message of which start it is. */
  get isIdentified(): boolean {
    return isName(this.start) && this.seq >= 0;
  }

  /** Reads a field; gives false where it is none of a report. */
  read(field: number, reader: BinaryReader): boolean {
    switch (field) {
      case this.#fields.start:
        this.start = reader.string();
        return true;
      case this.#fields.seq:
        this.seq = readWhole(reader);
        return true;
      case this.#fields.instances:
        this.instances = reader.uint32();
        return true;
      case this.#fields.storeInTouch:
        this.storeInTouch = reader.bool();
        return true;
      case this.#fields.reservedInstances:
        this.#reservedInstances = reader.uint32();
        return true;
      default:
        return this.#readRows(field, reader);
    }
  }

  #readRows(field: number, reader: BinaryReader): boolean {
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
      case this.#fields.limits:
        return (rows) => this.#limit(rows);
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
    if (account !== undefined) this.uses.set(account as RatedId, use);
  }

  #endpoints(rows: BinaryReader): void {
    const n = readWhole(rows);
    for (let left = rows.uint32(); left > 0; left--) {
      const endpoint = readName(rows, this.#book);
      if (endpoint !== undefined) this.inFlight.set(endpoint as EndpointId, n);
    }
  }

  #limit(rows: BinaryReader): void {
    const limit = readLimit(rows, this.#book);
    if (limit !== undefined) this.limits.set(...limit);
  }

  #share(rows: BinaryReader): void {
    const account = readName(rows, this.#book);
    const share = rows.uint32() / SHARE_UNITS;
    if (account !== undefined) this.#shares.set(account as RatedId, share);
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
