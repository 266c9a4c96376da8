/**
 * What a zone's relay tells the relays of the other zones of its zone.
 *
 * Load: digests from each instance to each other cost each of n instances 4n
 * messages a second both ways, and all of them n times as much between regions,
 * on links that are paid by the byte. Summed by zone, what crosses zones grows
 * with the zones and not with the instances.
 *
 * Like a digest it is whole and needs no earlier one.
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
import type { DigestNames } from "./compact_digest.ts";
import { isName } from "./digest_rows.ts";
import {
  INSTANCE_STATES,
  type InstanceProfile,
  type InstanceState,
} from "./instance_profile.ts";
import type { NameBook } from "./name_book.ts";
import {
  ReportDraft,
  type SumsReport,
  writeSumsReport,
} from "./report_rows.ts";
import {
  readMessage,
  readProfileField,
  readRows,
  writeProfile,
} from "./wire_rows.ts";

/** An instance of the zone. */
export interface ZoneMember {
  readonly profile: InstanceProfile;
  readonly state: InstanceState;
}

/** One digest of a zone: its changes are those that the relay knows of. */
export interface ZoneDigest extends SumsReport {
  readonly zone: ZoneId;
  readonly region: RegionId;
  /** The zone's relay. */
  readonly relay: InstanceId;
  /** Instances of the zone that are heard, the relay included. */
  readonly members: readonly ZoneMember[];
}

/** Longer datagrams are dropped unread, in bytes. */
const MAX_BYTES = 60_000;

/** Field numbers of the message; they do not change between builds. */
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
} as const;
/**
 * Writes a zone's digest as a datagram.
 *
 * @example
 * ```ts
 * datagrams.send("zone", addresses, encodeZoneDigest(digest, opts));
 * ```
 */
export function encodeZoneDigest(
  digest: ZoneDigest,
  opts: {
    readonly book: NameBook;
    /** Whether it says who the members are, and not only their hashes. */
    readonly introduces: boolean;
  },
): Uint8Array {
  const { book, introduces } = opts;
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
  for (const { profile } of introduces ? members : []) {
    writeProfile(out, FIELD.profile, profile);
  }
  writeSumsReport(out, digest, { fields: FIELD, book });
  return out.finish();
}

/**
 * Reads a datagram.
 *
 * Errors: `bad_request` where it is not a zone's digest.
 */
export function decodeZoneDigest(
  bytes: Uint8Array,
  names: DigestNames,
): Result<ZoneDigest, Failure> {
  const draft = new Draft(names);
  return readMessage(
    bytes,
    MAX_BYTES,
    (field, reader) => draft.read(field, reader),
  ).andThen(() => draft.finish());
}

/** A zone's digest as far as it is read. */
class Draft {
  readonly #names: DigestNames;
  #zone = "";
  #region = "";
  #relay = "";
  readonly #report: ReportDraft;
  readonly #members: { idHash: number; state: InstanceState }[] = [];
  readonly #profiles = new Map<number, InstanceProfile>();

  constructor(names: DigestNames) {
    this.#names = names;
    this.#report = new ReportDraft(FIELD, names.book);
  }

  finish(): Result<ZoneDigest, Failure> {
    const names = [this.#zone, this.#region, this.#relay];
    if (!names.every(isName) || !this.#report.isIdentified) {
      return fail("bad_request", "the datagram is no digest of a zone");
    }
    const { start, seq, instances, storeInTouch, reserved } = this.#report;
    const { changes, uses, inFlight, limits } = this.#report;
    return ok({
      zone: this.#zone as ZoneId,
      region: this.#region as RegionId,
      relay: this.#relay as InstanceId,
      start,
      seq,
      storeInTouch,
      changes,
      members: this.#members.flatMap((member) => this.#known(member)),
      instances,
      reserved,
      uses,
      inFlight,
      limits,
    });
  }

  /** Reads a field; gives false where it is not known. */
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
        readRows(reader, (rows) => this.#member(rows));
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

  #member(rows: BinaryReader): void {
    const idHash = rows.fixed32();
    const state = INSTANCE_STATES[rows.uint32()];
    if (state !== undefined) this.#members.push({ idHash, state });
  }

  /** A member that is not known yet is left out until it is introduced. */
  #known(
    member: { readonly idHash: number; readonly state: InstanceState },
  ): ZoneMember[] {
    const { idHash, state } = member;
    const profile = this.#profiles.get(idHash) ?? this.#names.profileOf(idHash);
    return profile === undefined ? [] : [{ profile, state }];
  }
}
