/**
 * Compact binary encoding of digests: a quarter of the bytes of the JSON that
 * earlier builds send.
 *
 * Load: each instance sends a digest to every other four times a second, and
 * traffic between regions is billed by the byte. Names are encoded as hashes,
 * and only some digests carry the profiles of the sender and of other
 * instances. The rest is self-contained, so a lost, late or duplicate digest
 * does no harm. A digest of an unknown sender is ignored until one carries its
 * profile.
 *
 * Uses the protocol buffers wire format without descriptors, because loading
 * them would delay the first response of a restarted instance.
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
import type { NameDictionary } from "./name_dictionary.ts";
import { ReportDecoder, writeReport } from "./report_rows.ts";
import { decodeStatus, encodeStatus } from "./status_bits.ts";
import {
  readMessage,
  readProfileField,
  readSafeInteger,
  writeProfile,
} from "./wire_rows.ts";

/** Longer datagrams are rejected without decoding. */
const MAX_BYTES = 16_384;

/** Field numbers of the message; they must stay the same across builds. */
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
  storeContact: 13,
} as const;

/** Resolves the hashes in a digest. */
export interface HashResolver {
  readonly dictionary: NameDictionary;
  /** Profile of an instance by the hash of its id. */
  readonly profileOf: (idHash: number) => InstanceProfile | undefined;
}

/**
 * Encodes a digest.
 *
 * @example
 * ```ts
 * const bytes = encodeCompactDigest(digest, opts);
 * datagrams.send("compactDigest", addresses, bytes);
 * ```
 */
export function encodeCompactDigest(
  digest: Digest,
  opts: {
    readonly dictionary: NameDictionary;
    /** Whether to include the sender's profile and `digest.otherProfiles`. */
    readonly includeProfiles: boolean;
  },
): Uint8Array {
  const { profile } = digest;
  const { dictionary, includeProfiles } = opts;
  const out = new BinaryWriter();
  out.tag(FIELD.senderHash, WireType.Bit32).fixed32(hash(profile.id));
  out.tag(FIELD.flags, WireType.Varint).uint32(encodeStatus(digest));
  out.tag(FIELD.planVersion, WireType.Varint).uint64(digest.planVersion);
  out.tag(FIELD.capacity, WireType.Bit64).double(digest.capacity);
  writeReport(out, digest, { fields: FIELD, dictionary });
  if (includeProfiles) {
    writeProfile(out, FIELD.profile, profile);
    for (const p of digest.otherProfiles) writeProfile(out, FIELD.other, p);
  }
  return out.finish();
}

/**
 * Decodes a digest. Returns undefined if the sender is unknown and the digest
 * does not carry its profile.
 *
 * Errors: `bad_request` if the datagram is not a valid digest.
 */
export function decodeCompactDigest(
  bytes: Uint8Array,
  resolver: HashResolver,
): Result<Digest | undefined, Failure> {
  const decoder = new DigestDecoder(resolver);
  return readMessage(
    bytes,
    MAX_BYTES,
    (field, reader) => decoder.read(field, reader),
  ).andThen(() => decoder.finish());
}

/** Collects the fields of a digest. */
class DigestDecoder {
  readonly #resolver: HashResolver;
  #senderHash: number | undefined;
  #profile: Result<InstanceProfile, Failure> | undefined;
  #flags: number | undefined;
  #planVersion = 0;
  #capacity = 0;
  readonly #report: ReportDecoder;
  readonly #others: InstanceProfile[] = [];

  constructor(resolver: HashResolver) {
    this.#resolver = resolver;
    this.#report = new ReportDecoder(FIELD, resolver.dictionary);
  }

  finish(): Result<Digest | undefined, Failure> {
    const status = this.#flags === undefined
      ? undefined
      : decodeStatus(this.#flags);
    if (status === undefined || !this.#report.isIdentified) {
      return fail("bad_request", "the digest is invalid");
    }
    if (this.#profile?.isErr()) return err(this.#profile.error);
    const profile = this.#profile?.unwrapOr(undefined) ?? this.#knownSender();
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
      ...this.#report.contact,
      otherProfiles: this.#others,
    });
  }

  #knownSender(): InstanceProfile | undefined {
    if (this.#senderHash === undefined) return undefined;
    return this.#resolver.profileOf(this.#senderHash);
  }

  /** Reads a field; returns false if the field number is unknown. */
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
        this.#planVersion = readSafeInteger(reader);
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
