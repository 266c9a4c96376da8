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
import type { InstanceProfile } from "./instance_profile.ts";
import type { NameBook } from "./name_book.ts";
import {
  ReportDraft,
  type SumsReport,
  writeSumsReport,
} from "./report_rows.ts";
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
export interface FleetAggregate extends SumsReport {
  readonly relay: InstanceProfile;
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
  limits: 14,
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
  const { members, farServing } = aggregate;
  const out = new BinaryWriter();
  writeProfile(out, FIELD.relay, aggregate.relay);
  writeSumsReport(out, aggregate, { fields: FIELD, book });
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
  readonly #members: AggregateMember[] = [];
  #farServing: number[] | undefined;
  readonly #profiles: InstanceProfile[] = [];

  constructor(book: NameBook) {
    this.#report = new ReportDraft(FIELD, book);
  }

  finish(): Result<FleetAggregate, Failure> {
    if (this.#relay === undefined || !this.#report.isIdentified) {
      return fail("bad_request", "the datagram is no aggregate");
    }
    if (this.#relay.isErr()) return err(this.#relay.error);
    const { start, seq, instances, storeInTouch, reserved } = this.#report;
    const { changes, uses, inFlight, limits } = this.#report;
    return ok({
      relay: this.#relay.value,
      start,
      seq,
      instances,
      storeInTouch,
      changes,
      uses,
      inFlight,
      limits,
      reserved,
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
