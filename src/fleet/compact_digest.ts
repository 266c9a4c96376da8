/**
 * Digests as they go out: a quarter of the bytes of the JSON that earlier builds
 * write.
 *
 * The load it answers: each instance tells each other four times a second, and
 * links between regions are paid by the byte. Names are given as hashes, and
 * who the sender is and of whom it heard goes along with some digests only. The
 * rest of a digest needs no earlier one, so one that is lost, late or repeated
 * does no harm; one from a sender that is not known yet is passed over until
 * the next that says who it is.
 *
 * Written in the wire format of protocol buffers, without descriptors: what a
 * restarted instance has to load delays its first answer.
 *
 * @module
 */
import { Buffer } from "node:buffer";
import { BinaryReader, BinaryWriter, WireType } from "@bufbuild/protobuf/wire";
import { err, ok, type Result } from "neverthrow";
import {
  type AccountId,
  type EndpointId,
  fail,
  type Failure,
  hash,
} from "../core/mod.ts";
import type { AccountUse } from "../decisions/quotas/mod.ts";
import type { Digest } from "./digest.ts";
import {
  isName,
  type ProfileRow,
  profileRow,
  readProfile,
} from "./digest_rows.ts";
import type { InstanceProfile, InstanceState } from "./instance_profile.ts";
import type { NameBook } from "./name_book.ts";

/** Longer datagrams are dropped unread, in bytes. */
const MAX_BYTES = 16_384;
/** Rates and levels are told to a tenth. */
const TENTHS = 10;

/** Field numbers of the message; they do not change between builds. */
const FIELD = {
  senderHash: 1,
  profile: 2,
  flags: 3,
  start: 4,
  seq: 5,
  planVersion: 6,
  capacity: 7,
  changes: 8,
  uses: 9,
  inFlight: 10,
  other: 11,
} as const;
/** Stands before a name that is written out, where its hash is not its own. */
const WRITTEN_OUT = 0;

const STATES: readonly InstanceState[] = ["starting", "serving", "leaving"];
/** Parts of the flags: a number of `STATES` in the lowest bits, and these. */
const STATE_BITS = 3;
const STORE_IN_TOUCH = 4;
const ASKS_STORE = 8;

/** What a reader knows of names. */
export interface DigestNames {
  readonly book: NameBook;
  /** The profile of an instance, by the hash of its id. */
  readonly profileOf: (idHash: number) => InstanceProfile | undefined;
}

/**
 * Writes a digest as a datagram.
 *
 * @example
 * ```ts
 * const bytes = encodeCompact(digest, { book, introduces: true });
 * datagrams.send("compactDigest", addresses, bytes);
 * ```
 */
export function encodeCompact(
  digest: Digest,
  opts: {
    readonly book: NameBook;
    /** Whether it says who its sender is, and of whom it heard. */
    readonly introduces: boolean;
  },
): Uint8Array {
  const { profile, seq } = digest;
  const { book, introduces } = opts;
  const out = new BinaryWriter();
  out.tag(FIELD.senderHash, WireType.Bit32).fixed32(hash(profile.id));
  out.tag(FIELD.flags, WireType.Varint).uint32(flagsOf(digest));
  out.tag(FIELD.start, WireType.LengthDelimited).string(digest.start);
  out.tag(FIELD.seq, WireType.Varint).uint64(seq);
  out.tag(FIELD.planVersion, WireType.Varint).uint64(digest.planVersion);
  out.tag(FIELD.capacity, WireType.Bit64).double(digest.capacity);
  rows(out, FIELD.changes, digest.changes, (kind, revision) => {
    writeName(out, kind, book);
    out.uint64(revision);
  });
  rows(out, FIELD.uses, digest.uses, (account, use) => {
    writeName(out, account, book);
    out.uint64(tenths(use.perS)).uint64(use.admitted);
    out.sint64(tenths(use.level));
  });
  rows(out, FIELD.inFlight, byCount(digest.inFlight), (n, endpoints) => {
    out.uint64(n).uint32(endpoints.length);
    for (const endpoint of endpoints) writeName(out, endpoint, book);
  });
  if (introduces) {
    profileField(out, FIELD.profile, profile);
    for (const other of digest.others) profileField(out, FIELD.other, other);
  }
  return out.finish();
}

/**
 * Reads a datagram; gives undefined where its sender is not known and it does
 * not say who that is.
 *
 * Errors: `bad_request` where it is not a digest.
 */
export function decodeCompact(
  bytes: Uint8Array,
  names: DigestNames,
): Result<Digest | undefined, Failure> {
  if (bytes.length > MAX_BYTES) {
    return fail("bad_request", "the datagram is too long");
  }
  const draft = new Draft(names);
  try {
    // The reader takes values out of the bytes; the socket's buffer is used
    // again.
    draft.read(new BinaryReader(Buffer.from(bytes)));
  } catch (cause) {
    return fail("bad_request", `the datagram is no digest: ${String(cause)}`);
  }
  return draft.finish();
}

/** A digest as far as it is read. */
class Draft {
  readonly #names: DigestNames;
  #senderHash: number | undefined;
  #profile: Result<InstanceProfile, Failure> | undefined;
  #flags: number | undefined;
  #start = "";
  #seq = -1;
  #planVersion = 0;
  #capacity = 0;
  readonly #changes = new Map<string, number>();
  readonly #uses = new Map<AccountId, AccountUse>();
  readonly #inFlight = new Map<EndpointId, number>();
  readonly #others: InstanceProfile[] = [];

  constructor(names: DigestNames) {
    this.#names = names;
  }

  read(reader: BinaryReader): void {
    while (reader.pos < reader.len) {
      const [field, type] = reader.tag();
      this.#field(field, type, reader);
    }
  }

  finish(): Result<Digest | undefined, Failure> {
    const flags = this.#flags ?? 0;
    const state = STATES[flags & STATE_BITS];
    if (
      this.#flags === undefined || state === undefined ||
      !isName(this.#start) || this.#seq < 0
    ) {
      return fail("bad_request", "the datagram is no digest");
    }
    if (this.#profile?.isErr()) return err(this.#profile.error);
    const profile = this.#profile?.unwrapOr(undefined) ?? this.#known();
    if (profile === undefined) return ok(undefined);
    return ok({
      profile,
      state,
      start: this.#start,
      seq: this.#seq,
      planVersion: this.#planVersion,
      storeInTouch: (flags & STORE_IN_TOUCH) !== 0,
      asksStore: (flags & ASKS_STORE) !== 0,
      capacity: this.#capacity > 0 ? this.#capacity : 0,
      changes: this.#changes,
      uses: this.#uses,
      inFlight: this.#inFlight,
      others: this.#others,
    });
  }

  #known(): InstanceProfile | undefined {
    if (this.#senderHash === undefined) return undefined;
    return this.#names.profileOf(this.#senderHash);
  }

  #field(field: number, type: WireType, reader: BinaryReader): void {
    switch (field) {
      case FIELD.senderHash:
        this.#senderHash = reader.fixed32();
        return;
      case FIELD.profile:
        this.#profile = readProfile(profileOf(reader));
        return;
      case FIELD.flags:
        this.#flags = reader.uint32();
        return;
      case FIELD.start:
        this.#start = reader.string();
        return;
      case FIELD.seq:
        this.#seq = whole(reader);
        return;
      case FIELD.planVersion:
        this.#planVersion = whole(reader);
        return;
      case FIELD.capacity:
        this.#capacity = reader.double();
        return;
      case FIELD.changes:
        return this.#rows(reader, (rows) => {
          const kind = this.#name(rows);
          const revision = whole(rows);
          if (kind !== undefined) this.#changes.set(kind, revision);
        });
      case FIELD.uses:
        return this.#rows(reader, (rows) => {
          const account = this.#name(rows);
          const use = readUse(rows);
          if (account !== undefined) this.#uses.set(account as AccountId, use);
        });
      case FIELD.inFlight:
        return this.#rows(reader, (rows) => {
          const n = whole(rows);
          for (let left = rows.uint32(); left > 0; left--) {
            const endpoint = this.#name(rows);
            if (endpoint === undefined) continue;
            this.#inFlight.set(endpoint as EndpointId, n);
          }
        });
      case FIELD.other: {
        const other = readProfile(profileOf(reader));
        if (other.isOk()) this.#others.push(other.value);
        return;
      }
      default:
        reader.skip(type, field);
    }
  }

  #rows(reader: BinaryReader, take: (rows: BinaryReader) => void): void {
    const rows = new BinaryReader(reader.bytes());
    while (rows.pos < rows.len) take(rows);
  }

  /** A row's name; undefined where it is not known here. */
  #name(rows: BinaryReader): string | undefined {
    const key = rows.fixed32();
    if (key !== WRITTEN_OUT) return this.#names.book.nameOf(key);
    const name = rows.string();
    return isName(name) ? name : undefined;
  }
}

/** Writes rows as one field, without a tag for each number. */
function rows<K, V>(
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

function writeName(out: BinaryWriter, name: string, book: NameBook): void {
  const key = hash(name);
  if (key !== WRITTEN_OUT && book.isClear(name)) out.fixed32(key);
  else out.fixed32(WRITTEN_OUT).string(name);
}

function readUse(rows: BinaryReader): AccountUse {
  return {
    perS: whole(rows) / TENTHS,
    admitted: whole(rows),
    level: Number(rows.sint64()) / TENTHS,
  };
}

function flagsOf({ state, storeInTouch, asksStore }: Digest): number {
  return STATES.indexOf(state) | (storeInTouch ? STORE_IN_TOUCH : 0) |
    (asksStore ? ASKS_STORE : 0);
}

function profileField(
  out: BinaryWriter,
  field: number,
  profile: InstanceProfile,
): void {
  const text = JSON.stringify(profileRow(profile));
  out.tag(field, WireType.LengthDelimited).string(text);
}

function profileOf(reader: BinaryReader): ProfileRow {
  return JSON.parse(reader.string());
}

function tenths(value: number): number {
  return Math.round(value * TENTHS);
}

/** A whole number; one that is too large to be exact is no digest's. */
function whole(reader: BinaryReader): number {
  const value = Number(reader.uint64());
  if (!Number.isSafeInteger(value)) throw new RangeError("number too large");
  return value;
}
