/**
 * Encoding of message parts in the protocol buffers wire format: names as
 * hashes, counts as varints, rows without a tag per number.
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
import type { NameDictionary } from "./name_dictionary.ts";

/** Sent in place of a hash: the full name follows. */
const FULL_NAME = 0;

/** Writes rows as one length-delimited field, without a tag per number. */
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

/** Calls `read` until all rows of a field are consumed. */
export function readRows(
  reader: BinaryReader,
  read: (rows: BinaryReader) => void,
): void {
  const rows = new BinaryReader(reader.bytes());
  while (rows.pos < rows.len) read(rows);
}

/** Writes a name as its hash, or in full if the hash is ambiguous. */
export function writeName(
  out: BinaryWriter,
  name: string,
  dictionary: NameDictionary,
): void {
  const key = hash(name);
  if (key !== FULL_NAME && dictionary.isUnambiguous(name)) out.fixed32(key);
  else out.fixed32(FULL_NAME).string(name);
}

/** Reads a name; undefined if it is invalid or its hash unknown or ambiguous. */
export function readName(
  rows: BinaryReader,
  dictionary: NameDictionary,
): string | undefined {
  const key = rows.fixed32();
  if (key !== FULL_NAME) return dictionary.nameOf(key);
  const name = rows.string();
  return isName(name) ? name : undefined;
}

export function writeProfile(
  out: BinaryWriter,
  field: number,
  profile: InstanceProfile,
): void {
  const text = JSON.stringify(profileRow(profile));
  out.tag(field, WireType.LengthDelimited).string(text);
}

export function readProfileField(
  reader: BinaryReader,
): Result<InstanceProfile, Failure> {
  return readProfile(JSON.parse(reader.string()) as ProfileRow);
}

/** Reads an integer; throws if it exceeds `Number.MAX_SAFE_INTEGER`. */
export function readSafeInteger(reader: BinaryReader): number {
  const value = Number(reader.uint64());
  if (!Number.isSafeInteger(value)) throw new RangeError("integer too large");
  return value;
}

/**
 * Reads a message field by field; fields for which `readField` returns false
 * are skipped.
 *
 * Errors: `bad_request` if the datagram is too long or malformed.
 */
export function readMessage(
  bytes: Uint8Array,
  maxBytes: number,
  readField: (field: number, reader: BinaryReader) => boolean,
): Result<void, Failure> {
  if (bytes.length > maxBytes) {
    return fail("bad_request", "the datagram exceeds the size limit");
  }
  try {
    // Copied: decoded values may refer to the bytes, and the socket reuses its
    // buffer.
    const reader = new BinaryReader(Buffer.from(bytes));
    while (reader.pos < reader.len) {
      const [field, type] = reader.tag();
      if (!readField(field, reader)) reader.skip(type, field);
    }
  } catch (cause) {
    return fail("bad_request", `the datagram is malformed: ${String(cause)}`);
  }
  return ok(undefined);
}
