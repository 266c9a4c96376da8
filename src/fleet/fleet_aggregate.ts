/**
 * Summary of the fleet that a zone's relay sends to the zone's instances: sums,
 * live instances and the latest changes.
 *
 * Load: forwarded one by one, the digests of a zone of 22 and of 8 other zones
 * would cost each instance 120 messages a second to read, and the zone's total
 * would grow with the square of its size. An aggregate has a row per account and
 * endpoint in use and a few bytes per instance of the zone, however large the
 * fleet is.
 *
 * @module
 */
import {
  type BinaryReader,
  BinaryWriter,
  WireType,
} from "@bufbuild/protobuf/wire";
import { err, ok, type Result } from "neverthrow";
import { fail, type Failure } from "../core/mod.ts";
import type { InstanceProfile } from "./instance_profile.ts";
import type { NameDictionary } from "./name_dictionary.ts";
import {
  ReportDecoder,
  type SummedReport,
  writeSummedReport,
} from "./report_rows.ts";
import {
  decodeStatus,
  encodeStatus,
  FIRST_FREE_BIT,
  type InstanceStatus,
} from "./status_bits.ts";
import {
  readMessage,
  readProfileField,
  readRows,
  readSafeInteger,
  writeProfile,
} from "./wire_rows.ts";

/** Status of an instance of the zone as its relay knows it. */
export interface AggregateMember extends InstanceStatus {
  readonly idHash: number;
  /** Hash of the id of the instance's run. */
  readonly startHash: number;
  /** Sequence number of the instance's last digest in the sums. */
  readonly seq: number;
  /** Whether the instance has received all changes listed in the aggregate. */
  readonly upToDate: boolean;
  readonly capacity: number;
}

/** Summary of the fleet; `changes` are the latest that any instance received. */
export interface FleetAggregate extends SummedReport {
  readonly relay: InstanceProfile;
  /** Instances of the zone that report to the relay, and the relay itself. */
  readonly members: readonly AggregateMember[];
  /**
   * Hashes of the serving instances in other zones; undefined if the previous
   * list remains valid.
   */
  readonly farServing: readonly number[] | undefined;
  /**
   * Hashes of the serving instances in other zones that callers are not sent to;
   * undefined if the previous list remains valid.
   */
  readonly farReserves?: readonly number[] | undefined;
  /** Some profiles, for instances that do not have them yet. */
  readonly profiles: readonly InstanceProfile[];
}

/** Longer datagrams are rejected without decoding. */
const MAX_BYTES = 60_000;

/** Field numbers of the message; they must stay the same across builds. */
const FIELD = {
  relay: 1,
  start: 2,
  seq: 3,
  instances: 4,
  storeInTouch: 5,
  changes: 6,
  uses: 7,
  inFlight: 8,
  reservedInstances: 9,
  reserved: 10,
  members: 11,
  farServing: 12,
  profile: 13,
  limits: 14,
  farReserves: 15,
  storeContact: 16,
} as const;

const UP_TO_DATE = FIRST_FREE_BIT;

/**
 * Encodes an aggregate.
 *
 * @example
 * ```ts
 * datagrams.send("aggregate", addresses, encodeAggregate(aggregate, dictionary));
 * ```
 */
export function encodeAggregate(
  aggregate: FleetAggregate,
  dictionary: NameDictionary,
): Uint8Array {
  const { members } = aggregate;
  const out = new BinaryWriter();
  writeProfile(out, FIELD.relay, aggregate.relay);
  writeSummedReport(out, aggregate, { fields: FIELD, dictionary });
  out.tag(FIELD.members, WireType.LengthDelimited).fork();
  for (const member of members) writeMember(out, member);
  out.join();
  writeHashes(out, FIELD.farServing, aggregate.farServing);
  writeHashes(out, FIELD.farReserves, aggregate.farReserves);
  for (const profile of aggregate.profiles) {
    writeProfile(out, FIELD.profile, profile);
  }
  return out.finish();
}

/**
 * Decodes an aggregate.
 *
 * Errors: `bad_request` if the datagram is not a valid aggregate.
 */
export function decodeAggregate(
  bytes: Uint8Array,
  dictionary: NameDictionary,
): Result<FleetAggregate, Failure> {
  const decoder = new AggregateDecoder(dictionary);
  return readMessage(
    bytes,
    MAX_BYTES,
    (field, reader) => decoder.read(field, reader),
  ).andThen(() => decoder.finish());
}

/** Collects the fields of an aggregate. */
class AggregateDecoder {
  readonly #report: ReportDecoder;
  #relay: Result<InstanceProfile, Failure> | undefined;
  readonly #members: AggregateMember[] = [];
  #farServing: number[] | undefined;
  #farReserves: number[] | undefined;
  readonly #profiles: InstanceProfile[] = [];

  constructor(dictionary: NameDictionary) {
    this.#report = new ReportDecoder(FIELD, dictionary);
  }

  finish(): Result<FleetAggregate, Failure> {
    if (this.#relay === undefined || !this.#report.isIdentified) {
      return fail("bad_request", "the aggregate is invalid");
    }
    if (this.#relay.isErr()) return err(this.#relay.error);
    const { start, seq, instances, storeInTouch, reserved } = this.#report;
    const { changes, uses, inFlight, limits, contact } = this.#report;
    return ok({
      relay: this.#relay.value,
      start,
      seq,
      instances,
      storeInTouch,
      ...contact,
      changes,
      uses,
      inFlight,
      limits,
      reserved,
      members: this.#members,
      farServing: this.#farServing,
      ...(this.#farReserves === undefined
        ? {}
        : { farReserves: this.#farReserves }),
      profiles: this.#profiles,
    });
  }

  /** Reads a field; returns false if the field number is unknown. */
  read(field: number, reader: BinaryReader): boolean {
    switch (field) {
      case FIELD.relay:
        this.#relay = readProfileField(reader);
        return true;
      case FIELD.members:
        readRows(reader, (rows) => this.#members.push(readMember(rows)));
        return true;
      case FIELD.farServing:
        this.#farServing = readHashes(reader);
        return true;
      case FIELD.farReserves:
        this.#farReserves = readHashes(reader);
        return true;
      case FIELD.profile: {
        const profile = readProfileField(reader);
        if (profile.isOk()) this.#profiles.push(profile.value);
        return true;
      }
      default:
        return this.#report.read(field, reader);
    }
  }
}

function writeHashes(
  out: BinaryWriter,
  field: number,
  hashes: readonly number[] | undefined,
): void {
  if (hashes === undefined) return;
  out.tag(field, WireType.LengthDelimited).fork();
  for (const idHash of hashes) out.fixed32(idHash);
  out.join();
}

function readHashes(reader: BinaryReader): number[] {
  const hashes: number[] = [];
  readRows(reader, (rows) => hashes.push(rows.fixed32()));
  return hashes;
}

function writeMember(out: BinaryWriter, member: AggregateMember): void {
  const bits = encodeStatus(member) | (member.upToDate ? UP_TO_DATE : 0);
  out.fixed32(member.idHash).fixed32(member.startHash).uint64(member.seq);
  // Not rounded: instances rank each other by capacity and must agree.
  out.uint32(bits).double(member.capacity);
}

function readMember(rows: BinaryReader): AggregateMember {
  const idHash = rows.fixed32();
  const startHash = rows.fixed32();
  const seq = readSafeInteger(rows);
  const bits = rows.uint32();
  const status = decodeStatus(bits);
  if (status === undefined) throw new RangeError("unknown instance state");
  return {
    ...status,
    idHash,
    startHash,
    seq,
    upToDate: (bits & UP_TO_DATE) !== 0,
    capacity: Math.max(0, rows.double()),
  };
}
