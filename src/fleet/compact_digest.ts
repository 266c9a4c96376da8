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
import {
  type BinaryReader,
  BinaryWriter,
  WireType,
} from "@bufbuild/protobuf/wire";
import { err, ok, type Result } from "neverthrow";
import { fail, type Failure, hash } from "../core/mod.ts";
import type { Digest } from "./digest.ts";
import type { InstanceProfile } from "./instance_profile.ts";
import type { NameBook } from "./name_book.ts";
import { ReportDraft, writeReport } from "./report_rows.ts";
import { statusBits, statusOf } from "./status_bits.ts";
import {
  readMessage,
  readProfileField,
  readWhole,
  writeProfile,
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
  limits: 12,
} as const;

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
  const { profile } = digest;
  const { book, introduces } = opts;
  const out = new BinaryWriter();
  out.tag(FIELD.senderHash, WireType.Bit32).fixed32(hash(profile.id));
  out.tag(FIELD.flags, WireType.Varint).uint32(statusBits(digest));
  out.tag(FIELD.planVersion, WireType.Varint).uint64(digest.planVersion);
  out.tag(FIELD.capacity, WireType.Bit64).double(digest.capacity);
  writeReport(out, digest, { fields: FIELD, book });
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
  const draft = new Draft(names);
  return readMessage(
    bytes,
    MAX_BYTES,
    (field, reader) => draft.read(field, reader),
  ).andThen(() => draft.finish());
}

/** A digest as far as it is read. */
class Draft {
  readonly #names: DigestNames;
  #senderHash: number | undefined;
  #profile: Result<InstanceProfile, Failure> | undefined;
  #flags: number | undefined;
  #planVersion = 0;
  #capacity = 0;
  readonly #report: ReportDraft;
  readonly #others: InstanceProfile[] = [];

  constructor(names: DigestNames) {
    this.#names = names;
    this.#report = new ReportDraft(FIELD, names.book);
  }

  finish(): Result<Digest | undefined, Failure> {
    const status = this.#flags === undefined
      ? undefined
      : statusOf(this.#flags);
    if (status === undefined || !this.#report.isIdentified) {
      return fail("bad_request", "the datagram is no digest");
    }
    if (this.#profile?.isErr()) return err(this.#profile.error);
    const profile = this.#profile?.unwrapOr(undefined) ?? this.#known();
    if (profile === undefined) return ok(undefined);
    return ok({
      ...status,
      profile,
      start: this.#report.start,
      seq: this.#report.seq,
      planVersion: this.#planVersion,
      capacity: this.#capacity > 0 ? this.#capacity : 0,
      changes: this.#report.changes,
      uses: this.#report.uses,
      inFlight: this.#report.inFlight,
      limits: this.#report.limits,
      others: this.#others,
    });
  }

  #known(): InstanceProfile | undefined {
    if (this.#senderHash === undefined) return undefined;
    return this.#names.profileOf(this.#senderHash);
  }

  /** Reads a field; gives false where it is not known. */
  read(field: number, reader: BinaryReader): boolean {
    switch (field) {
      case FIELD.senderHash:
        this.#senderHash = reader.fixed32();
        return true;
      case FIELD.profile:
        this.#profile = readProfileField(reader);
        return true;
      case FIELD.flags:
        this.#flags = reader.uint32();
        return true;
      case FIELD.planVersion:
        this.#planVersion = readWhole(reader);
        return true;
      case FIELD.capacity:
        this.#capacity = reader.double();
        return true;
      case FIELD.other: {
        const other = readProfileField(reader);
        if (other.isOk()) this.#others.push(other.value);
        return true;
      }
      default:
        return this.#report.read(field, reader);
    }
  }
}
