/**
 * Summary of a zone that its relay sends to the relays of the other zones.
 *
 * Load: in a full mesh each of n instances sends and receives 4n digests a
 * second, and all together n times as many, partly over links between regions
 * that are billed by the byte. With one summary per zone, traffic between zones
 * grows with the number of zones instead of instances.
 *
 * Like a digest it is self-contained: a lost one does no harm.
 *
 * @module
 */
import {
  type BinaryReader,
  BinaryWriter,
  WireType,
} from "@bufbuild/protobuf/wire";
import { ok, type Result } from "neverthrow";
import {
  fail,
  type Failure,
  hash,
  type InstanceId,
  type RegionId,
  type ZoneId,
} from "../core/mod.ts";
import type { HashResolver } from "./compact_digest.ts";
import { isName } from "./digest_rows.ts";
import {
  INSTANCE_STATES,
  type InstanceProfile,
  type InstanceState,
} from "./instance_profile.ts";
import type { NameDictionary } from "./name_dictionary.ts";
import {
  ReportDecoder,
  type SummedReport,
  writeSummedReport,
} from "./report_rows.ts";
import {
  readMessage,
  readProfileField,
  readRows,
  writeProfile,
} from "./wire_rows.ts";

export interface ZoneMember {
  readonly profile: InstanceProfile;
  readonly state: InstanceState;
  /** Whether callers should be sent to others. */
  readonly isReserve?: boolean | undefined;
}

/** Summary of a zone; `changes` are those that its relay has received. */
export interface ZoneDigest extends SummedReport {
  readonly zone: ZoneId;
  readonly region: RegionId;
  /** The relay of the zone, which sent the summary. */
  readonly relay: InstanceId;
  /** Reachable instances of the zone, including the relay. */
  readonly members: readonly ZoneMember[];
}

/** Longer datagrams are rejected without decoding. */
const MAX_BYTES = 60_000;

/** Field numbers of the message; they must stay the same across builds. */
const FIELD = {
  zone: 1,
  region: 2,
  relay: 3,
  start: 4,
  seq: 5,
  storeInTouch: 6,
  changes: 7,
  members: 8,
  profile: 9,
  instances: 11,
  reservedInstances: 12,
  reserved: 13,
  uses: 14,
  inFlight: 15,
  limits: 16,
  /** Apart from the members, whose rows earlier builds read. */
  reserves: 17,
  storeContact: 18,
} as const;

/**
 * Encodes a zone's digest.
 *
 * @example
 * ```ts
 * datagrams.send("zone", addresses, encodeZoneDigest(digest, opts));
 * ```
 */
export function encodeZoneDigest(
  digest: ZoneDigest,
  opts: {
    readonly dictionary: NameDictionary;
    /** Whether to include the members' profiles besides their hashes. */
    readonly includeProfiles: boolean;
  },
): Uint8Array {
  const { dictionary, includeProfiles } = opts;
  const { members } = digest;
  const out = new BinaryWriter();
  out.tag(FIELD.zone, WireType.LengthDelimited).string(digest.zone);
  out.tag(FIELD.region, WireType.LengthDelimited).string(digest.region);
  out.tag(FIELD.relay, WireType.LengthDelimited).string(digest.relay);
  out.tag(FIELD.members, WireType.LengthDelimited).fork();
  for (const { profile, state } of members) {
    out.fixed32(hash(profile.id)).uint32(INSTANCE_STATES.indexOf(state));
  }
  out.join();
  const reserves = members.filter(({ isReserve }) => isReserve === true);
  if (reserves.length > 0) {
    out.tag(FIELD.reserves, WireType.LengthDelimited).fork();
    for (const { profile } of reserves) out.fixed32(hash(profile.id));
    out.join();
  }
  for (const { profile } of includeProfiles ? members : []) {
    writeProfile(out, FIELD.profile, profile);
  }
  writeSummedReport(out, digest, { fields: FIELD, dictionary });
  return out.finish();
}

/**
 * Decodes a zone's digest.
 *
 * Errors: `bad_request` if the datagram is not a valid zone digest.
 */
export function decodeZoneDigest(
  bytes: Uint8Array,
  resolver: HashResolver,
): Result<ZoneDigest, Failure> {
  const decoder = new ZoneDigestDecoder(resolver);
  return readMessage(
    bytes,
    MAX_BYTES,
    (field, reader) => decoder.read(field, reader),
  ).andThen(() => decoder.finish());
}

/** Collects the fields of a zone's digest. */
class ZoneDigestDecoder {
  readonly #resolver: HashResolver;
  #zone = "";
  #region = "";
  #relay = "";
  readonly #report: ReportDecoder;
  readonly #members: { idHash: number; state: InstanceState }[] = [];
  readonly #reserves = new Set<number>();
  readonly #profiles = new Map<number, InstanceProfile>();

  constructor(resolver: HashResolver) {
    this.#resolver = resolver;
    this.#report = new ReportDecoder(FIELD, resolver.dictionary);
  }

  finish(): Result<ZoneDigest, Failure> {
    const names = [this.#zone, this.#region, this.#relay];
    if (!names.every(isName) || !this.#report.isIdentified) {
      return fail("bad_request", "the zone digest is invalid");
    }
    const { start, seq, instances, storeInTouch, reserved } = this.#report;
    const { changes, uses, inFlight, limits, contact } = this.#report;
    return ok({
      zone: this.#zone as ZoneId,
      region: this.#region as RegionId,
      relay: this.#relay as InstanceId,
      start,
      seq,
      storeInTouch,
      ...contact,
      changes,
      members: this.#members.flatMap((member) => this.#resolve(member)),
      instances,
      reserved,
      uses,
      inFlight,
      limits,
    });
  }

  /** Reads a field; returns false if the field number is unknown. */
  read(field: number, reader: BinaryReader): boolean {
    switch (field) {
      case FIELD.zone:
        this.#zone = reader.string();
        return true;
      case FIELD.region:
        this.#region = reader.string();
        return true;
      case FIELD.relay:
        this.#relay = reader.string();
        return true;
      case FIELD.members:
        readRows(reader, (rows) => this.#readMember(rows));
        return true;
      case FIELD.reserves:
        readRows(reader, (rows) => this.#reserves.add(rows.fixed32()));
        return true;
      case FIELD.profile: {
        const profile = readProfileField(reader);
        if (profile.isErr()) return true;
        this.#profiles.set(hash(profile.value.id), profile.value);
        return true;
      }
      default:
        return this.#report.read(field, reader);
    }
  }

  #readMember(rows: BinaryReader): void {
    const idHash = rows.fixed32();
    const state = INSTANCE_STATES[rows.uint32()];
    if (state !== undefined) this.#members.push({ idHash, state });
  }

  /** Leaves out a member until its profile has been received. */
  #resolve(
    member: { readonly idHash: number; readonly state: InstanceState },
  ): ZoneMember[] {
    const { idHash, state } = member;
    const profile = this.#profiles.get(idHash) ??
      this.#resolver.profileOf(idHash);
    if (profile === undefined) return [];
    const isReserve = this.#reserves.has(idHash);
    return [{ profile, state, ...(isReserve ? { isReserve } : {}) }];
  }
}
