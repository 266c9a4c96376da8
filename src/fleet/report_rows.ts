/**
 * Encoding of the fields that all digests share: run and sequence number,
 * changes received, usage, requests in flight and limits. Reports that sum
 * several instances also carry the reserved shares of rates.
 *
 * @module
 */
import {
  type BinaryReader,
  type BinaryWriter,
  WireType,
} from "@bufbuild/protobuf/wire";
import type { EndpointId } from "../core/mod.ts";
import type {
  RateLimitId,
  RateUse,
  ReservedShares,
} from "../decisions/quotas/mod.ts";
import { isName } from "./digest_rows.ts";
import {
  type AgedLimit,
  type AgedLimits,
  readLimit,
  writeLimits,
} from "./limit_rows.ts";
import type { NameDictionary } from "./name_dictionary.ts";
import {
  readName,
  readRows,
  readSafeInteger,
  writeName,
  writeRows,
} from "./wire_rows.ts";

/** Rates and levels are rounded to a tenth. */
const TENTHS = 10;
const MS_PER_S = 1_000;
/** Shares are rounded to a ten-thousandth. */
const SHARE_UNITS = 10_000;

/** Field numbers in a message; the optional ones are those of sums. */
export interface ReportFields {
  readonly start: number;
  readonly seq: number;
  readonly changes: number;
  readonly uses: number;
  readonly inFlight: number;
  readonly limits: number;
  readonly storeContact: number;
  readonly instances?: number;
  readonly storeInTouch?: number;
  readonly reservedInstances?: number;
  readonly reserved?: number;
}

/** The fields that all digests share. */
export interface Report {
  /** Random id of this run of the sender; new after each restart. */
  readonly start: string;
  /** Sequence number within the run. */
  readonly seq: number;
  /** Revision of the last change received, by kind of object. */
  readonly changes: ReadonlyMap<string, number>;
  /** For how long the store has answered without a break, in ms; 0 if unknown. */
  readonly storeContactMs?: number | undefined;
  readonly uses: ReadonlyMap<RateLimitId, RateUse>;
  /** Requests in flight by endpoint. */
  readonly inFlight: ReadonlyMap<EndpointId, number>;
  /** Rate limits that endpoints recently stated or stopped stating. */
  readonly limits: AgedLimits;
}

/** A report summed over several instances. */
export interface SummedReport extends Report {
  /** Number of instances in the sums. */
  readonly instances: number;
  /** Whether the store responds to any of the instances that watch it. */
  readonly storeInTouch: boolean;
  /** Shares of rates reserved for instances that do not report. */
  readonly reserved: ReservedShares;
}

export interface WriteReportOptions {
  readonly fields: ReportFields;
  readonly dictionary: NameDictionary;
}

export function writeReport(
  out: BinaryWriter,
  { start, seq, changes, uses, inFlight, limits, storeContactMs = 0 }: Report,
  { fields, dictionary }: WriteReportOptions,
): void {
  out.tag(fields.start, WireType.LengthDelimited).string(start);
  out.tag(fields.seq, WireType.Varint).uint64(seq);
  const contactS = Math.floor(storeContactMs / MS_PER_S);
  if (contactS > 0) {
    out.tag(fields.storeContact, WireType.Varint).uint32(contactS);
  }
  writeRows(out, fields.changes, changes, (kind, revision) => {
    writeName(out, kind, dictionary);
    out.uint64(revision);
  });
  writeRows(out, fields.uses, uses, (account, use) => {
    writeName(out, account, dictionary);
    out.uint64(tenths(use.perS)).uint64(use.admitted);
    out.sint64(tenths(use.level));
  });
  writeRows(out, fields.inFlight, groupByCount(inFlight), (n, endpoints) => {
    out.uint64(n).uint32(endpoints.length);
    for (const endpoint of endpoints) writeName(out, endpoint, dictionary);
  });
  writeLimits(out, limits, { field: fields.limits, dictionary });
}

export function writeSummedReport(
  out: BinaryWriter,
  report: SummedReport,
  { fields, dictionary }: {
    readonly fields: Required<ReportFields>;
    readonly dictionary: NameDictionary;
  },
): void {
  const { instances, storeInTouch, reserved } = report;
  writeReport(out, report, { fields, dictionary });
  out.tag(fields.instances, WireType.Varint).uint32(instances);
  out.tag(fields.storeInTouch, WireType.Varint).bool(storeInTouch);
  out.tag(fields.reservedInstances, WireType.Varint).uint32(reserved.instances);
  writeRows(out, fields.reserved, reserved.shares, (account, share) => {
    writeName(out, account, dictionary);
    // Rounded up: a reservation that shrinks would be spent twice.
    out.uint32(Math.ceil(share * SHARE_UNITS));
  });
}

/** Collects the fields of a report; ignores rows with unknown names. */
export class ReportDecoder implements SummedReport {
  start = "";
  seq = -1;
  instances = 0;
  storeInTouch = false;
  #storeContactMs = 0;
  readonly changes = new Map<string, number>();
  readonly uses = new Map<RateLimitId, RateUse>();
  readonly inFlight = new Map<EndpointId, number>();
  readonly limits = new Map<EndpointId, AgedLimit>();
  readonly #shares = new Map<RateLimitId, number>();
  #reservedInstances = 0;
  readonly #fields: ReportFields;
  readonly #dictionary: NameDictionary;

  constructor(fields: ReportFields, dictionary: NameDictionary) {
    this.#fields = fields;
    this.#dictionary = dictionary;
  }

  get reserved(): ReservedShares {
    return { shares: this.#shares, instances: this.#reservedInstances };
  }

  /** The contact with the store, if one was read. */
  get contact(): Pick<Report, "storeContactMs"> {
    const storeContactMs = this.#storeContactMs;
    return storeContactMs === 0 ? {} : { storeContactMs };
  }

  /** Whether the run and the sequence number were read. */
  get isIdentified(): boolean {
    return isName(this.start) && this.seq >= 0;
  }

  /** Reads a field; returns false if it does not belong to a report. */
  read(field: number, reader: BinaryReader): boolean {
    switch (field) {
      case this.#fields.start:
        this.start = reader.string();
        return true;
      case this.#fields.seq:
        this.seq = readSafeInteger(reader);
        return true;
      case this.#fields.instances:
        this.instances = reader.uint32();
        return true;
      case this.#fields.storeInTouch:
        this.storeInTouch = reader.bool();
        return true;
      case this.#fields.storeContact:
        this.#storeContactMs = reader.uint32() * MS_PER_S;
        return true;
      case this.#fields.reservedInstances:
        this.#reservedInstances = reader.uint32();
        return true;
      default:
        return this.#readRows(field, reader);
    }
  }

  #readRows(field: number, reader: BinaryReader): boolean {
    const readRow = this.#rowReader(field);
    if (readRow === undefined) return false;
    readRows(reader, readRow);
    return true;
  }

  #rowReader(field: number): ((rows: BinaryReader) => void) | undefined {
    switch (field) {
      case this.#fields.changes:
        return (rows) => this.#readChange(rows);
      case this.#fields.uses:
        return (rows) => this.#readUse(rows);
      case this.#fields.inFlight:
        return (rows) => this.#readInFlight(rows);
      case this.#fields.limits:
        return (rows) => this.#readLimit(rows);
      case this.#fields.reserved:
        return (rows) => this.#readShare(rows);
      default:
        return undefined;
    }
  }

  #readChange(rows: BinaryReader): void {
    const kind = readName(rows, this.#dictionary);
    const revision = readSafeInteger(rows);
    if (kind !== undefined) this.changes.set(kind, revision);
  }

  #readUse(rows: BinaryReader): void {
    const account = readName(rows, this.#dictionary);
    const use = {
      perS: readSafeInteger(rows) / TENTHS,
      admitted: readSafeInteger(rows),
      level: Number(rows.sint64()) / TENTHS,
    };
    if (account !== undefined) this.uses.set(account as RateLimitId, use);
  }

  #readInFlight(rows: BinaryReader): void {
    const n = readSafeInteger(rows);
    for (let left = rows.uint32(); left > 0; left--) {
      const endpoint = readName(rows, this.#dictionary);
      if (endpoint !== undefined) this.inFlight.set(endpoint as EndpointId, n);
    }
  }

  #readLimit(rows: BinaryReader): void {
    const limit = readLimit(rows, this.#dictionary);
    if (limit !== undefined) this.limits.set(...limit);
  }

  #readShare(rows: BinaryReader): void {
    const account = readName(rows, this.#dictionary);
    const share = rows.uint32() / SHARE_UNITS;
    if (account !== undefined) this.#shares.set(account as RateLimitId, share);
  }
}

/** Groups endpoints by count: most have one or two requests of an instance. */
function groupByCount(
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
