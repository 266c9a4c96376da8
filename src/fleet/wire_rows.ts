/**
 * Rows of digests in the wire format of protocol buffers: names as hashes,
 * counts as varints.
 *
 * @module
 */
import {
  BinaryReader,
  type BinaryWriter,
  WireType,
} from "@bufbuild/protobuf/wire";
import type { Result } from "neverthrow";
import {
  type AccountId,
  type EndpointId,
  type Failure,
  hash,
} from "../core/mod.ts";
import type { AccountUse } from "../decisions/quotas/mod.ts";
import {
  isName,
  type ProfileRow,
  profileRow,
  readProfile,
} from "./digest_rows.ts";
import type { InstanceProfile } from "./instance_profile.ts";
import type { NameBook } from "./name_book.ts";

/** Rates and levels are rounded to a tenth. */
const TENTHS = 10;
/** Shares are rounded to a ten-thousandth. */
const SHARE_UNITS = 10_000;
/** Precedes a name in full, where its hash is ambiguous. */
const WRITTEN_OUT = 0;

/** Writes rows as one field, without a tag for each number. */
export function writeRows<K, V>(
  out: BinaryWriter,
  field: number,
  values: ReadonlyMap<K, V>,
  write: (key: K, value: V) => void,
): void {
  if (values.size === 0) return;
  out.tag(field, WireType.LengthDelimited).fork();
  for (const [key, value] of values) write(key, value);
  out.join();
}

/** Calls `read` for each row of a field. */
export function readRows(
  reader: BinaryReader,
  read: (rows: BinaryReader) => void,
): void {
  const rows = new BinaryReader(reader.bytes());
  while (rows.pos < rows.len) read(rows);
}

/** Writes a name as its hash, or in full where the hash is ambiguous. */
export function writeName(
  out: BinaryWriter,
  name: string,
  book: NameBook,
): void {
  const key = hash(name);
  if (key !== WRITTEN_OUT && book.isClear(name)) out.fixed32(key);
  else out.fixed32(WRITTEN_OUT).string(name);
}

/** Reads a name; undefined where its hash is not known here. */
export function readName(
  rows: BinaryReader,
  book: NameBook,
): string | undefined {
  const key = rows.fixed32();
  if (key !== WRITTEN_OUT) return book.nameOf(key);
  const name = rows.string();
  return isName(name) ? name : undefined;
}

/** Writes the uses of accounts as one field. */
export function writeUses(
  out: BinaryWriter,
  field: number,
  opts: {
    readonly uses: ReadonlyMap<AccountId, AccountUse>;
    readonly book: NameBook;
  },
): void {
  writeRows(out, field, opts.uses, (account, use) => {
    writeName(out, account, opts.book);
    out.uint64(tenths(use.perS)).uint64(use.admitted);
    out.sint64(tenths(use.level));
  });
}

/** Reads one account's use; undefined where the account is not known here. */
export function readUse(
  rows: BinaryReader,
  book: NameBook,
): [AccountId, AccountUse] | undefined {
  const account = readName(rows, book);
  const use = {
    perS: readWhole(rows) / TENTHS,
    admitted: readWhole(rows),
    level: Number(rows.sint64()) / TENTHS,
  };
  return account === undefined ? undefined : [account as AccountId, use];
}

/** Writes parts of rates as one field. */
export function writeShares(
  out: BinaryWriter,
  field: number,
  opts: {
    readonly shares: ReadonlyMap<AccountId, number>;
    readonly book: NameBook;
  },
): void {
  writeRows(out, field, opts.shares, (account, share) => {
    writeName(out, account, opts.book);
    // Rounded up: what is set aside must not shrink on the way.
    out.uint32(Math.ceil(share * SHARE_UNITS));
  });
}

/** Reads one account's part; undefined where the account is not known here. */
export function readShare(
  rows: BinaryReader,
  book: NameBook,
): [AccountId, number] | undefined {
  const account = readName(rows, book);
  const share = rows.uint32() / SHARE_UNITS;
  return account === undefined ? undefined : [account as AccountId, share];
}

/** Writes requests in flight by endpoint as one field, grouped by count. */
export function writeInFlight(
  out: BinaryWriter,
  field: number,
  opts: {
    readonly inFlight: ReadonlyMap<EndpointId, number>;
    readonly book: NameBook;
  },
): void {
  writeRows(out, field, byCount(opts.inFlight), (n, endpoints) => {
    out.uint64(n).uint32(endpoints.length);
    for (const endpoint of endpoints) writeName(out, endpoint, opts.book);
  });
}

/** Reads the endpoints with one count into `inFlight`. */
export function readInFlight(
  rows: BinaryReader,
  inFlight: Map<EndpointId, number>,
  book: NameBook,
): void {
  const n = readWhole(rows);
  for (let left = rows.uint32(); left > 0; left--) {
    const endpoint = readName(rows, book);
    if (endpoint !== undefined) inFlight.set(endpoint as EndpointId, n);
  }
}

/** Writes an instance's profile. */
export function writeProfile(
  out: BinaryWriter,
  field: number,
  profile: InstanceProfile,
): void {
  const text = JSON.stringify(profileRow(profile));
  out.tag(field, WireType.LengthDelimited).string(text);
}

/** Reads an instance's profile. */
export function readProfileField(
  reader: BinaryReader,
): Result<InstanceProfile, Failure> {
  return readProfile(JSON.parse(reader.string()) as ProfileRow);
}

/** Reads a whole number; throws where it is too large to be exact. */
export function readWhole(reader: BinaryReader): number {
  const value = Number(reader.uint64());
  if (!Number.isSafeInteger(value)) throw new RangeError("number too large");
  return value;
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
