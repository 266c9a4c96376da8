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
import { Buffer } from "node:buffer";
import { BinaryReader, BinaryWriter, WireType } from "@bufbuild/protobuf/wire";
import { err, ok, type Result } from "neverthrow";
import {
  type AccountId,
  type EndpointId,
  fail,
  type Failure,
} from "../core/mod.ts";
import type { AccountUse, Reserved } from "../decisions/quotas/mod.ts";
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

/** An instance of the zone as the relay knows it. */
export interface AggregateMember {
  readonly idHash: number;
  /** Hash of the instance's start. */
  readonly startHash: number;
  /** The instance's last digest that the sums contain. */
  readonly seq: number;
  readonly state: InstanceState;
  readonly asksStore: boolean;
  readonly storeInTouch: boolean;
  readonly relays: boolean;
  /** Whether it knows all changes that the aggregate names. */
  readonly upToDate: boolean;
  readonly capacity: number;
}

/** One aggregate. */
export interface FleetAggregate {
  readonly relay: InstanceProfile;
  /** Differs with each start of the relay. */
  readonly start: string;
  /** Counts up with each aggregate of a start. */
  readonly seq: number;
  /** Instances whose uses are in the sums, the relay included. */
  readonly instances: number;
  /** Whether an instance that watches the store is answered. */
  readonly storeInTouch: boolean;
  /** The highest revision that any instance knows of, by kind. */
  readonly changes: ReadonlyMap<string, number>;
  readonly uses: ReadonlyMap<AccountId, AccountUse>;
  readonly inFlight: ReadonlyMap<EndpointId, number>;
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

const STATES: readonly InstanceState[] = ["starting", "serving", "leaving"];
const STATE_BITS = 3;
const ASKS_STORE = 4;
const STORE_IN_TOUCH = 8;
const UP_TO_DATE = 16;
const RELAYS = 32;

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
  const { changes, uses, inFlight, reserved, members, farServing } = aggregate;
  const out = new BinaryWriter();
  writeProfile(out, FIELD.relay, aggregate.relay);
  out.tag(FIELD.start, WireType.LengthDelimited).string(aggregate.start);
  out.tag(FIELD.seq, WireType.Varint).uint64(aggregate.seq);
  out.tag(FIELD.instances, WireType.Varint).uint32(aggregate.instances);
  out.tag(FIELD.storeInTouch, WireType.Varint).bool(aggregate.storeInTouch);
  writeRows(out, FIELD.changes, changes, (kind, revision) => {
    writeName(out, kind, book);
    out.uint64(revision);
  });
  writeUses(out, FIELD.uses, { uses, book });
  writeInFlight(out, FIELD.inFlight, { inFlight, book });
  out.tag(FIELD.reservedInstances, WireType.Varint).uint32(reserved.instances);
  writeShares(out, FIELD.reserved, { shares: reserved.shares, book });
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
  if (bytes.length > MAX_BYTES) {
    return fail("bad_request", "the datagram is too long");
  }
  const draft = new Draft(book);
  try {
    // The reader takes values out of the bytes; the socket's buffer is used
    // again.
    draft.read(new BinaryReader(Buffer.from(bytes)));
  } catch (cause) {
    return fail("bad_request", `the datagram is cut: ${String(cause)}`);
  }
  return draft.finish();
}

/** An aggregate as far as it is read. */
class Draft {
  readonly #book: NameBook;
  #relay: Result<InstanceProfile, Failure> | undefined;
  #start = "";
  #seq = -1;
  #instances = 0;
  #storeInTouch = false;
  #reservedInstances = 0;
  readonly #changes = new Map<string, number>();
  readonly #uses = new Map<AccountId, AccountUse>();
  readonly #inFlight = new Map<EndpointId, number>();
  readonly #shares = new Map<AccountId, number>();
  readonly #members: AggregateMember[] = [];
  #farServing: number[] | undefined;
  readonly #profiles: InstanceProfile[] = [];

  constructor(book: NameBook) {
    this.#book = book;
  }

  read(reader: BinaryReader): void {
    while (reader.pos < reader.len) {
      const [field, type] = reader.tag();
      this.#field(field, type, reader);
    }
  }

  finish(): Result<FleetAggregate, Failure> {
    if (this.#relay === undefined || !isName(this.#start) || this.#seq < 0) {
      return fail("bad_request", "the datagram is no aggregate");
    }
    if (this.#relay.isErr()) return err(this.#relay.error);
    return ok({
      relay: this.#relay.value,
      start: this.#start,
      seq: this.#seq,
      instances: this.#instances,
      storeInTouch: this.#storeInTouch,
      changes: this.#changes,
      uses: this.#uses,
      inFlight: this.#inFlight,
      reserved: { shares: this.#shares, instances: this.#reservedInstances },
      members: this.#members,
      farServing: this.#farServing,
      profiles: this.#profiles,
    });
  }

  #field(field: number, type: WireType, reader: BinaryReader): void {
    const book = this.#book;
    switch (field) {
      case FIELD.relay:
        this.#relay = readProfileField(reader);
        return;
      case FIELD.start:
        this.#start = reader.string();
        return;
      case FIELD.seq:
        this.#seq = readWhole(reader);
        return;
      case FIELD.instances:
        this.#instances = reader.uint32();
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
      case FIELD.reservedInstances:
        this.#reservedInstances = reader.uint32();
        return;
      case FIELD.reserved:
        return readRows(reader, (rows) => {
          const row = readShare(rows, book);
          if (row !== undefined) this.#shares.set(...row);
        });
      case FIELD.members:
        return readRows(reader, (rows) => this.#members.push(readMember(rows)));
      case FIELD.farServing: {
        const serving: number[] = [];
        readRows(reader, (rows) => serving.push(rows.fixed32()));
        this.#farServing = serving;
        return;
      }
      case FIELD.profile: {
        const profile = readProfileField(reader);
        if (profile.isOk()) this.#profiles.push(profile.value);
        return;
      }
      default:
        reader.skip(type, field);
    }
  }
}

function writeMember(out: BinaryWriter, member: AggregateMember): void {
  const flags = STATES.indexOf(member.state) |
    (member.asksStore ? ASKS_STORE : 0) |
    (member.storeInTouch ? STORE_IN_TOUCH : 0) |
    (member.upToDate ? UP_TO_DATE : 0) | (member.relays ? RELAYS : 0);
  out.fixed32(member.idHash).fixed32(member.startHash).uint64(member.seq);
  // In full: peers rank each other by it and must all find the same order.
  out.uint32(flags).double(member.capacity);
}

function readMember(rows: BinaryReader): AggregateMember {
  const idHash = rows.fixed32();
  const startHash = rows.fixed32();
  const seq = readWhole(rows);
  const flags = rows.uint32();
  const state = STATES[flags & STATE_BITS];
  if (state === undefined) throw new RangeError("no such state");
  return {
    idHash,
    startHash,
    seq,
    state,
    asksStore: (flags & ASKS_STORE) !== 0,
    storeInTouch: (flags & STORE_IN_TOUCH) !== 0,
    upToDate: (flags & UP_TO_DATE) !== 0,
    relays: (flags & RELAYS) !== 0,
    capacity: Math.max(0, rows.double()),
  };
}
