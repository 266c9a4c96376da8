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
import { isName } from "./digest_rows.ts";
import type { InstanceProfile, InstanceState } from "./instance_profile.ts";
import type { NameBook } from "./name_book.ts";
import {
  readInFlight,
  readName,
  readProfileField,
  readRows,
  readUse,
  readWhole,
  writeInFlight,
  writeName,
  writeProfile,
  writeRows,
  writeUses,
} from "./wire_rows.ts";

/** Longer datagrams are dropped unread, in bytes. */
const MAX_BYTES = 16_384;

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

const STATES: readonly InstanceState[] = ["starting", "serving", "leaving"];
/** Parts of the flags: a number of `STATES` in the lowest bits, and these. */
const STATE_BITS = 3;
const STORE_IN_TOUCH = 4;
const ASKS_STORE = 8;
const RELAYS = 16;

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
  writeRows(out, FIELD.changes, digest.changes, (kind, revision) => {
    writeName(out, kind, book);
    out.uint64(revision);
  });
  writeUses(out, FIELD.uses, { uses: digest.uses, book });
  writeInFlight(out, FIELD.inFlight, { inFlight: digest.inFlight, book });
  if (introduces) {
    writeProfile(out, FIELD.profile, profile);
    for (const other of digest.others) writeProfile(out, FIELD.other, other);
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
      relays: (flags & RELAYS) !== 0,
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
    const { book } = this.#names;
    switch (field) {
      case FIELD.senderHash:
        this.#senderHash = reader.fixed32();
        return;
      case FIELD.profile:
        this.#profile = readProfileField(reader);
        return;
      case FIELD.flags:
        this.#flags = reader.uint32();
        return;
      case FIELD.start:
        this.#start = reader.string();
        return;
      case FIELD.seq:
        this.#seq = readWhole(reader);
        return;
      case FIELD.planVersion:
        this.#planVersion = readWhole(reader);
        return;
      case FIELD.capacity:
        this.#capacity = reader.double();
        return;
      case FIELD.changes:
        return readRows(reader, (rows) => {
          const kind = readName(rows, book);
          const revision = readWhole(rows);
          if (kind !== undefined) this.#changes.set(kind, revision);
        });
      case FIELD.uses:
        return readRows(reader, (rows) => {
          const row = readUse(rows, book);
          if (row !== undefined) this.#uses.set(...row);
        });
      case FIELD.inFlight:
        return readRows(
          reader,
          (rows) => readInFlight(rows, this.#inFlight, book),
        );
      case FIELD.other: {
        const other = readProfileField(reader);
        if (other.isOk()) this.#others.push(other.value);
        return;
      }
      default:
        reader.skip(type, field);
    }
  }
}

function flagsOf(digest: Digest): number {
  const { state, storeInTouch, asksStore, relays } = digest;
  return STATES.indexOf(state) | (storeInTouch ? STORE_IN_TOUCH : 0) |
    (asksStore ? ASKS_STORE : 0) | (relays ? RELAYS : 0);
}
