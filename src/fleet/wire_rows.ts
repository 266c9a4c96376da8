/**
 * Parts of messages in the wire format of protocol buffers: names as hashes,
 * counts as varints, rows without a tag for each number.
 *
 * @module
 */
import { Buffer } from "node:buffer";
import {
  BinaryReader,
  type BinaryWriter,
  WireType,
} from "@bufbuild/protobuf/wire";
import { ok, type Result } from "neverthrow";
import { fail, type Failure, hash } from "../core/mod.ts";
import {
  isName,
  type ProfileRow,
  profileRow,
  readProfile,
} from "./digest_rows.ts";
import type { InstanceProfile } from "./instance_profile.ts";
import type { NameBook } from "./name_book.ts";

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

/**
 * Reads a message field by field; `take` gives whether it knows a field.
 *
 * Errors: `bad_request` where the bytes are too long or no message.
 */
export function readMessage(
  bytes: Uint8Array,
  mostBytes: number,
  take: (field: number, reader: BinaryReader) => boolean,
): Result<void, Failure> {
  if (bytes.length > mostBytes) {
    return fail("bad_request", "the datagram is too long");
  }
  try {
    // The reader takes values out of the bytes; the socket's buffer is used
    // again.
    const reader = new BinaryReader(Buffer.from(bytes));
    while (reader.pos < reader.len) {
      const [field, type] = reader.tag();
      if (!take(field, reader)) reader.skip(type, field);
    }
  } catch (cause) {
    return fail("bad_request", `the datagram is no digest: ${String(cause)}`);
  }
  return ok(undefined);
}
