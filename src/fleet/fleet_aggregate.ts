/**
 * What a zone's relay tells the zone's instances of the whole fleet: sums, who
 * lives, and what changed.
 *
 * Load: passed on one by one, the digests of a zone of 22 and of 8 other zones
 * cost each instance 120 messages a second to read, and grow with the square of
 * the zone. An aggregate has a row for each account and endpoint in use and a
 * few bytes for each instance of the zone, however large the fleet is.
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
import type { Reserved } from "../decisions/quotas/mod.ts";
import { isName } from "./digest_rows.ts";
import type { InstanceProfile } from "./instance_profile.ts";
import type { NameBook } from "./name_book.ts";
import { type Report, ReportDraft, writeReport } from "./report_rows.ts";
import {
  FREE_BIT,
  type InstanceStatus,
  statusBits,
  statusOf,
} from "./status_bits.ts";
import {
  readMessage,
  readProfileField,
  readRows,
  readWhole,
  writeProfile,
} from "./wire_rows.ts";

/** An instance of the zone as the relay knows it. */
export interface AggregateMember extends InstanceStatus {
  readonly idHash: number;
  /** Hash of the instance's start. */
  readonly startHash: number;
  /** The instance's last digest that the sums contain. */
  readonly seq: number;
  /** Whether it knows all changes that the aggregate names. */
  readonly upToDate: boolean;
  readonly capacity: number;
}

/** One aggregate: its changes are the highest that any instance knows of. */
export interface FleetAggregate extends Report {
  readonly relay: InstanceProfile;
  /** Differs with each start of the relay. */
  readonly start: string;
  /** Counts up with each aggregate of a start. */
  readonly seq: number;
  /** Instances whose uses are in the sums, the relay included. */
  readonly instances: number;
  /** Whether an instance that watches the store is answered. */
  readonly storeInTouch: boolean;
  /** What is set aside for instances that the relay does not hear. */
  readonly reserved: Reserved;
  /** Instances of the zone that the relay hears, itself included. */
  readonly members: readonly AggregateMember[];
  /**
   * Hashes of other zones' instances that take callers; undefined where the
   * last ones hold on.
   */
  readonly farServing: readonly number[] | undefined;
  /** Some instances, for those that do not know them yet. */
  readonly profiles: readonly InstanceProfile[];
}

/** Longer datagrams are dropped unread, in bytes. */
const MAX_BYTES = 60_000;

/** Field numbers of the message; they do not change between builds. */
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
} as const;

const UP_TO_DATE = FREE_BIT;

/**
 * Writes an aggregate as a datagram.
 *
 * @example
 * ```ts
 * datagrams.send("aggregate", addresses, encodeAggregate(aggregate, book));
 * ```
 */
export function encodeAggregate(
  aggregate: FleetAggregate,
  book: NameBook,
): Uint8Array {
  const { reserved, members, farServing } = aggregate;
  const out = new BinaryWriter();
  writeProfile(out, FIELD.relay, aggregate.relay);
  out.tag(FIELD.start, WireType.LengthDelimited).string(aggregate.start);
  out.tag(FIELD.seq, WireType.Varint).uint64(aggregate.seq);
  out.tag(FIELD.instances, WireType.Varint).uint32(aggregate.instances);
  out.tag(FIELD.storeInTouch, WireType.Varint).bool(aggregate.storeInTouch);
  const { shares } = reserved;
  writeReport(out, aggregate, { fields: FIELD, book, shares });
  out.tag(FIELD.reservedInstances, WireType.Varint).uint32(reserved.instances);
  out.tag(FIELD.members, WireType.LengthDelimited).fork();
  for (const member of members) writeMember(out, member);
  out.join();
  if (farServing !== undefined) {
    out.tag(FIELD.farServing, WireType.LengthDelimited).fork();
    for (const idHash of farServing) out.fixed32(idHash);
    out.join();
  }
  for (const profile of aggregate.profiles) {
    writeProfile(out, FIELD.profile, profile);
  }
  return out.finish();
}

/**
 * Reads a datagram.
 *
 * Errors: `bad_request` where it is no aggregate.
 */
export function decodeAggregate(
  bytes: Uint8Array,
  book: NameBook,
): Result<FleetAggregate, Failure> {
  const draft = new Draft(book);
  return readMessage(
    bytes,
    MAX_BYTES,
    (field, reader) => draft.read(field, reader),
  ).andThen(() => draft.finish());
}

/** An aggregate as far as it is read. */
class Draft {
  readonly #report: ReportDraft;
  #relay: Result<InstanceProfile, Failure> | undefined;
  #start = "";
  #seq = -1;
  #instances = 0;
  #storeInTouch = false;
  #reservedInstances = 0;
  readonly #members: AggregateMember[] = [];
  #farServing: number[] | undefined;
  readonly #profiles: InstanceProfile[] = [];

  constructor(book: NameBook) {
    this.#report = new ReportDraft(FIELD, book);
  }

  finish(): Result<FleetAggregate, Failure> {
    if (this.#relay === undefined || !isName(this.#start) || this.#seq < 0) {
      return fail("bad_request", "the datagram is no aggregate");
    }
    if (this.#relay.isErr()) return err(this.#relay.error);
    const { changes, uses, inFlight, shares } = this.#report;
    return ok({
      relay: this.#relay.value,
      start: this.#start,
      seq: this.#seq,
      instances: this.#instances,
      storeInTouch: this.#storeInTouch,
      changes,
      uses,
      inFlight,
      reserved: { shares, instances: this.#reservedInstances },
      members: this.#members,
      farServing: this.#farServing,
      profiles: this.#profiles,
    });
  }

  /** Reads a field; gives false where it is not known. */
  read(field: number, reader: BinaryReader): boolean {
    switch (field) {
      case FIELD.relay:
        this.#relay = readProfileField(reader);
        return true;
      case FIELD.start:
        this.#start = reader.string();
        return true;
      case FIELD.seq:
        this.#seq = readWhole(reader);
        return true;
      case FIELD.instances:
        this.#instances = reader.uint32();
        return true;
      case FIELD.storeInTouch:
        this.#storeInTouch = reader.bool();
        return true;
      case FIELD.reservedInstances:
        this.#reservedInstances = reader.uint32();
        return true;
      case FIELD.members:
        readRows(reader, (rows) => this.#members.push(readMember(rows)));
        return true;
      case FIELD.farServing: {
        const serving: number[] = [];
        readRows(reader, (rows) => serving.push(rows.fixed32()));
        this.#farServing = serving;
        return true;
      }
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

function writeMember(out: BinaryWriter, member: AggregateMember): void {
  const bits = statusBits(member) | (member.upToDate ? UP_TO_DATE : 0);
  out.fixed32(member.idHash).fixed32(member.startHash).uint64(member.seq);
  // In full: peers rank each other by it and must all find the same order.
  out.uint32(bits).double(member.capacity);
}

function readMember(rows: BinaryReader): AggregateMember {
  const idHash = rows.fixed32();
  const startHash = rows.fixed32();
  const seq = readWhole(rows);
  const bits = rows.uint32();
  const status = statusOf(bits);
  if (status === undefined) throw new RangeError("no such state");
  return {
    ...status,
    idHash,
    startHash,
    seq,
    upToDate: (bits & UP_TO_DATE) !== 0,
    capacity: Math.max(0, rows.double()),
  };
}
