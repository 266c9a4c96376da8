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
import { Buffer } from "node:buffer";
import { BinaryReader, BinaryWriter, WireType } from "@bufbuild/protobuf/wire";
import { ok, type Result } from "neverthrow";
import {
  type AccountId,
  type EndpointId,
  fail,
  type Failure,
  hash,
  type InstanceId,
  type RegionId,
  type ZoneId,
} from "../core/mod.ts";
import type { AccountUse, Reserved } from "../decisions/quotas/mod.ts";
import type { DigestNames } from "./compact_digest.ts";
import { isName } from "./digest_rows.ts";
import type { InstanceProfile, InstanceState } from "./instance_profile.ts";
import type { NameBook } from "./name_book.ts";
import {
  readInFlight,
  readName,
  readProfileField,
  readRows,
  readShare,
  readUse,
  readWhole,
  writeInFlight,
  writeName,
  writeProfile,
  writeRows,
  writeShares,
  writeUses,
} from "./wire_rows.ts";

/** An instance of the zone. */
export interface ZoneMember {
  readonly profile: InstanceProfile;
  readonly state: InstanceState;
}

/** One digest of a zone. */
export interface ZoneDigest {
  readonly zone: ZoneId;
  readonly region: RegionId;
  /** The zone's relay. */
  readonly speaker: InstanceId;
  /** Differs with each start of the relay. */
  readonly start: string;
  /** Counts up with each digest of a start. */
  readonly seq: number;
  /** Whether an instance of the zone watches the store, and is answered. */
  readonly storeInTouch: boolean;
  /** Revision of the last change that the relay knows of, by kind. */
  readonly changes: ReadonlyMap<string, number>;
  /** Instances of the zone that are heard, the relay included. */
  readonly members: readonly ZoneMember[];
  /** Instances whose uses are in the sums. */
  readonly instances: number;
  /** What is set aside for instances of the zone that are not heard. */
  readonly reserved: Reserved;
  /** What was asked of and admitted for accounts, summed. */
  readonly uses: ReadonlyMap<AccountId, AccountUse>;
  /** Requests out at endpoints, summed; none where there is no entry. */
  readonly inFlight: ReadonlyMap<EndpointId, number>;
}

/** Longer datagrams are dropped unread, in bytes. */
const MAX_BYTES = 60_000;

/** Field numbers of the message; they do not change between builds. */
const FIELD = {
  zone: 1,
  region: 2,
  speaker: 3,
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
} as const;
const STATES: readonly InstanceState[] = ["starting", "serving", "leaving"];

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
  const { changes, members, reserved, uses, inFlight } = digest;
  const out = new BinaryWriter();
  out.tag(FIELD.zone, WireType.LengthDelimited).string(digest.zone);
  out.tag(FIELD.region, WireType.LengthDelimited).string(digest.region);
  out.tag(FIELD.speaker, WireType.LengthDelimited).string(digest.speaker);
  out.tag(FIELD.start, WireType.LengthDelimited).string(digest.start);
  out.tag(FIELD.seq, WireType.Varint).uint64(digest.seq);
  out.tag(FIELD.storeInTouch, WireType.Varint).bool(digest.storeInTouch);
  writeRows(out, FIELD.changes, changes, (kind, revision) => {
    writeName(out, kind, book);
    out.uint64(revision);
  });
  out.tag(FIELD.members, WireType.LengthDelimited).fork();
  for (const { profile, state } of members) {
    out.fixed32(hash(profile.id)).uint32(STATES.indexOf(state));
  }
  out.join();
  for (const { profile } of introduces ? members : []) {
    writeProfile(out, FIELD.profile, profile);
  }
  out.tag(FIELD.instances, WireType.Varint).uint32(digest.instances);
  out.tag(FIELD.reservedInstances, WireType.Varint).uint32(reserved.instances);
  writeShares(out, FIELD.reserved, { shares: reserved.shares, book });
  writeUses(out, FIELD.uses, { uses, book });
  writeInFlight(out, FIELD.inFlight, { inFlight, book });
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
  if (bytes.length > MAX_BYTES) {
    return fail("bad_request", "the datagram is too long");
  }
  const draft = new Draft(names);
  try {
    // The reader takes values out of the bytes; the socket's buffer is used
    // again.
    draft.read(new BinaryReader(Buffer.from(bytes)));
  } catch (cause) {
    return fail("bad_request", `the datagram is cut: ${String(cause)}`);
  }
  return draft.finish();
}

/** A zone's digest as far as it is read. */
class Draft {
  readonly #names: DigestNames;
  #zone = "";
  #region = "";
  #speaker = "";
  #start = "";
  #seq = -1;
  #storeInTouch = false;
  #instances = 0;
  #reservedInstances = 0;
  readonly #changes = new Map<string, number>();
  readonly #members: { idHash: number; state: InstanceState }[] = [];
  readonly #profiles = new Map<number, InstanceProfile>();
  readonly #shares = new Map<AccountId, number>();
  readonly #uses = new Map<AccountId, AccountUse>();
  readonly #inFlight = new Map<EndpointId, number>();

  constructor(names: DigestNames) {
    this.#names = names;
  }

  read(reader: BinaryReader): void {
    while (reader.pos < reader.len) {
      const [field, type] = reader.tag();
      this.#field(field, type, reader);
    }
  }

  finish(): Result<ZoneDigest, Failure> {
    const names = [this.#zone, this.#region, this.#speaker, this.#start];
    if (!names.every(isName) || this.#seq < 0) {
      return fail("bad_request", "the datagram is no digest of a zone");
    }
    return ok({
      zone: this.#zone as ZoneId,
      region: this.#region as RegionId,
      speaker: this.#speaker as InstanceId,
      start: this.#start,
      seq: this.#seq,
      storeInTouch: this.#storeInTouch,
      changes: this.#changes,
      members: this.#members.flatMap((member) => this.#known(member)),
      instances: this.#instances,
      reserved: { shares: this.#shares, instances: this.#reservedInstances },
      uses: this.#uses,
      inFlight: this.#inFlight,
    });
  }

  #field(field: number, type: WireType, reader: BinaryReader): void {
    const { book } = this.#names;
    switch (field) {
      case FIELD.zone:
        this.#zone = reader.string();
        return;
      case FIELD.region:
        this.#region = reader.string();
        return;
      case FIELD.speaker:
        this.#speaker = reader.string();
        return;
      case FIELD.start:
        this.#start = reader.string();
        return;
      case FIELD.seq:
        this.#seq = readWhole(reader);
        return;
      case FIELD.storeInTouch:
        this.#storeInTouch = reader.bool();
        return;
      case FIELD.changes:
        return readRows(reader, (rows) => {
          const kind = readName(rows, book);
          const revision = readWhole(rows);
          if (kind !== undefined) this.#changes.set(kind, revision);
        });
      case FIELD.members:
        return readRows(reader, (rows) => {
          const idHash = rows.fixed32();
          const state = STATES[rows.uint32()];
          if (state !== undefined) this.#members.push({ idHash, state });
        });
      case FIELD.profile: {
        const profile = readProfileField(reader);
        if (profile.isErr()) return;
        this.#profiles.set(hash(profile.value.id), profile.value);
        return;
      }
      case FIELD.instances:
        this.#instances = reader.uint32();
        return;
      case FIELD.reservedInstances:
        this.#reservedInstances = reader.uint32();
        return;
      case FIELD.reserved:
        return readRows(reader, (rows) => {
          const row = readShare(rows, book);
          if (row !== undefined) this.#shares.set(...row);
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
      default:
        reader.skip(type, field);
    }
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
