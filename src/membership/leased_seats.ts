/**
 * Seats held by lease: one table a zone in the store, renewed for all of the
 * zone's instances by one of them, prolonged by promises between them while
 * the store cannot be reached.
 *
 * @module
 */
import { create } from "@bufbuild/protobuf";
import type {
  Clock,
  Failure,
  InstanceId,
  Log,
  Metrics,
  ZoneId,
} from "../core/mod.ts";
import { type SteeringDocument, zonesOf } from "../document/mod.ts";
import {
  type MembershipPart,
  MembershipPartSchema,
  SeatDigestSchema,
  SeatNameSchema,
  SeatPromiseSchema,
} from "../gen/membership_pb.ts";
import type { Batch, Sender } from "../gen/peer_pb.ts";
import type { PeerSubsystem } from "../peers/mod.ts";
import type { Platform } from "../store/mod.ts";
import { rankFor } from "./duty.ts";
import { leaseOn, PromiseBook } from "./seat_lease.ts";
import { fromMessage, toMessage } from "./seat_messages.ts";
import { SeatObserver } from "./seat_observer.ts";
import { planSeats, quietMs, type SeatPlan } from "./seat_plan.ts";
import { SeatStore, type StoredTable } from "./seat_store.ts";
import {
  type Ask,
  EMPTY_TABLE,
  type Holder,
  holdersOf,
  sameHolder,
  seatCount,
} from "./seat_table.ts";
import { SEAT_TIMING, type SeatTiming, settleMs } from "./seat_timing.ts";
import type { HeldSeat, SeatDirectory, SeatEntry } from "./seats.ts";
import { ZoneMates } from "./zone_mates.ts";
import { ZoneTables } from "./zone_tables.ts";

/** What leased seats need. */
export interface LeasedSeatsDeps {
  readonly instance: InstanceId;
  readonly zone: ZoneId;
  readonly incarnation: string;
  readonly clock: Clock;
  readonly platform: Platform;
  readonly log: Log;
  readonly metrics: Metrics;
  readonly document: () => SteeringDocument;
  readonly timing?: SeatTiming;
}

/** A conditional write whose effect is not known yet. */
interface Attempt {
  readonly base: number;
  /** Seats it would take from this instance. */
  readonly given: readonly number[];
  /** Seats it would take from others. */
  readonly taken: readonly number[];
}

const MAX_BACKOFF_MS = 16_000;
const HAND_OVER_TRIES = 5;

/** Seats by lease. */
export class LeasedSeats implements SeatDirectory, PeerSubsystem {
  readonly #deps: LeasedSeatsDeps;
  readonly #timing: SeatTiming;
  readonly #self: Holder;
  readonly #store: SeatStore;
  readonly #observer = new SeatObserver();
  readonly #promises = new PromiseBook();
  readonly #mates = new ZoneMates();
  readonly #others = new ZoneTables();
  /** How new each peer's copies are, by what it last told. */
  readonly #known = new Map<string, ReadonlyMap<string, number>>();
  /** Own seats that are no longer used, and since when. */
  readonly #giving = new Map<number, number>();
  #stored: StoredTable = { table: EMPTY_TABLE, version: undefined };
  #attempts: Attempt[] = [];
  #everRead = false;
  #busy = false;
  #leaving = false;
  #failures = 0;
  #nextTryAt = -Infinity;
  #startedAt: number | undefined;
  #observedAt = -Infinity;

  constructor(deps: LeasedSeatsDeps) {
    this.#deps = deps;
    this.#timing = deps.timing ?? SEAT_TIMING;
    this.#self = { holder: deps.instance, incarnation: deps.incarnation };
    this.#store = new SeatStore(deps);
  }

  held(now: number): HeldSeat[] {
    const { table } = this.#stored;
    const zone = this.#deps.zone;
    const blocked = this.#unusable();
    return table.rows.slice(0, this.#seats()).flatMap((_row, index) => {
      if (blocked.has(index)) return [];
      const lease = leaseOn(table, index, {
        self: this.#self,
        promises: this.#promises,
        timing: this.#timing,
        now,
      });
      return lease ? [{ zone, ...lease }] : [];
    });
  }

  entries(): SeatEntry[] {
    const own = [this.#deps.zone as string, this.#stored] as const;
    return [own, ...this.#others.entries()].flatMap(([zone, { table }]) =>
      table.rows.map((row, index) => ({
        zone: zone as ZoneId,
        index,
        holder: row.holder === "" ? undefined : row.holder as InstanceId,
        incarnation: row.incarnation,
        epoch: row.epoch,
      }))
    );
  }

  /** Each tick: renews, takes over, gives away; one store call at a time. */
  run(now: number): void {
    this.#startedAt ??= now;
    this.#mates.forget(now, this.#timing.holdMs);
    this.#deps.metrics.gauge("seats.held", this.held(now).length);
    if (this.#seats() === 0 || this.#busy || now < this.#nextTryAt) return;
    if (!this.#everRead) return void this.#read();
    this.#chooseGiving(now);
    const plan = this.#plan(now);
    if (this.#due(plan, now)) void this.#write(plan);
  }

  /** Seats go to zone-mates from now on; none is taken any more. */
  leave(): void {
    this.#leaving = true;
  }

  /**
   * Gives every seat away; call it when no work runs on them any more. Comes
   * back when the store has it, or after a few tries.
   */
  async handOver(): Promise<void> {
    this.#leaving = true;
    for (let i = 0; i < HAND_OVER_TRIES; i++) {
      const { rows } = this.#stored.table;
      rows.forEach((row, index) => {
        if (sameHolder(row, this.#self)) this.#giving.set(index, -Infinity);
      });
      if (seatCount(rows, this.#self) === 0) return;
      await this.#write(this.#plan(this.#deps.clock.now()));
    }
  }

  fill(batch: Batch, to: string): void {
    const now = this.#deps.clock.now();
    const { table, version } = this.#stored;
    const part: MembershipPart = create(MembershipPartSchema, {
      askedMs: Math.floor(now),
      seatsSeen: table.revision,
      digests: this.#others.digests(),
    });
    part.digests.push(
      create(SeatDigestSchema, {
        zone: this.#deps.zone,
        known: table.revision,
      }),
    );
    const mate = this.#mates.latest(to);
    if (mate) part.promise = this.#promiseTo(mate);
    const known = this.#known.get(to) ?? new Map<string, number>();
    const own = known.get(this.#deps.zone) ?? 0;
    const newest = mate ? table.revision : table.shape;
    if (version !== undefined && newest > own) {
      part.tables.push(toMessage(this.#deps.zone, this.#stored));
    }
    for (const [zone, stored] of this.#others.newerThan(known)) {
      part.tables.push(toMessage(zone, stored));
    }
    batch.membership = part;
  }

  absorb(batch: Batch, from: Sender): void {
    const part = batch.membership;
    if (part === undefined) return;
    const now = this.#deps.clock.now();
    this.#known.set(
      from.instance,
      new Map(part.digests.map((d) => [d.zone, d.known])),
    );
    for (const message of part.tables) {
      const stored = fromMessage(message);
      if (stored === undefined) continue;
      if (message.zone === this.#deps.zone) this.#observe(stored, now);
      else this.#others.adopt(message.zone, stored);
    }
    if (from.zone !== this.#deps.zone) return;
    this.#mates.absorb(from, part, now);
    const { promise } = part;
    if (promise && promise.incarnation === this.#self.incarnation) {
      const by = { holder: from.instance, incarnation: from.incarnation };
      this.#promises.add(by, {
        askedMs: promise.final ? Infinity : promise.askedMs,
        seats: promise.seats,
      });
    }
  }

  #seats(): number {
    const zones = zonesOf(this.#deps.document());
    return zones.find((z) => z.zone === this.#deps.zone)?.instances ?? 0;
  }

  /**
   * Seats that are being given away, or that a write of unknown effect gives
   * away: the write may land any time later, and the seat is then another's.
   */
  #unusable(): Set<number> {
    const given = this.#attempts.flatMap((a) => a.given);
    return new Set([...this.#giving.keys(), ...given]);
  }

  #observe(stored: StoredTable, now: number): void {
    if (stored.table.revision <= this.#stored.table.revision) return;
    this.#stored = stored;
    this.#everRead = true;
    this.#observedAt = now;
    this.#observer.observe(stored.table, now);
    this.#promises.keep(holdersOf(stored.table));
    this.#attempts = this.#attempts.filter((a) =>
      a.base >= stored.table.revision
    );
    for (const index of this.#giving.keys()) {
      const row = stored.table.rows[index];
      if (!row || !sameHolder(row, this.#self)) this.#giving.delete(index);
    }
  }

  /**
   * A promise names only seats that this instance has not tried to take: a
   * take-over of unknown effect may already stand in the store. Who leaves
   * takes none any more; without its last word the others' seats would shrink
   * to the floor when it leaves while the store is down.
   */
  #promiseTo(mate: Ask) {
    const taken = this.#attempts.flatMap((a) => a.taken);
    const seats = this.#stored.table.rows.flatMap((row, index) =>
      sameHolder(row, mate) && !taken.includes(index)
        ? [create(SeatNameSchema, { index, epoch: row.epoch })]
        : []
    );
    const { incarnation, askedMs } = mate;
    const final = this.#leaving;
    return create(SeatPromiseSchema, { incarnation, askedMs, seats, final });
  }

  #ask(now: number): Ask {
    const seen = this.#stored.table.revision;
    return { ...this.#self, askedMs: Math.floor(now), seen };
  }

  #settleMs(): number {
    return settleMs(this.#deps.document());
  }

  #plan(now: number): SeatPlan {
    const mates = this.#mates.live(now);
    const settle = this.#settleMs();
    const quiet = quietMs(this.#timing, settle);
    const givable = [...this.#giving].filter(([, since]) =>
      now - since >= settle
    );
    return planSeats({
      table: this.#stored.table,
      observer: this.#observer,
      self: this.#ask(now),
      leaving: this.#leaving,
      mates: mates.filter((m) => !m.leaving),
      departing: mates.filter((m) => m.leaving),
      givable: new Set(givable.map(([index]) => index)),
      promised: (holder) => this.#mates.heardAt(holder) + quiet > now,
      seats: this.#seats(),
      settleMs: settle,
      timing: this.#timing,
      now,
    });
  }

  /** The fullest holder stops using one seat for a mate that has two fewer. */
  #chooseGiving(now: number): void {
    const { rows } = this.#stored.table;
    const mates = this.#mates.live(now).filter((m) => !m.leaving);
    const own = seatCount(rows, this.#self);
    const counts = mates.map((m) => seatCount(rows, m));
    const fullest = counts.every((n) => n <= own);
    const wanted = fullest && counts.some((n) => n + 2 <= own);
    if (!wanted) this.#giving.clear();
    else if (this.#giving.size === 0) {
      const index = rows.findLastIndex((r) => sameHolder(r, this.#self));
      this.#giving.set(index, now);
    }
  }

  /** Whether the plan is this instance's to write, now. */
  #due(plan: SeatPlan, now: number): boolean {
    const { zone, instance } = this.#deps;
    const { renewMs, standInMs } = this.#timing;
    const mates = this.#mates.live(now).map((m) => m.holder);
    const rank = rankFor(`seats ${zone}`, [...new Set([...mates, instance])]);
    const turn = rank.indexOf(instance);
    const silentMs = now - Math.max(this.#observedAt, this.#startedAt ?? now);
    if (plan.urgent && turn === 0) return true;
    if (plan.own && silentMs >= standInMs) return true;
    if (plan.taken.length > 0) return true;
    return silentMs >= renewMs + turn * standInMs;
  }

  async #read(): Promise<void> {
    await this.#call(async () => {
      const read = await this.#store.read();
      if (read.isErr()) return read.error;
      this.#everRead = true;
      this.#observe(read.value, this.#deps.clock.now());
      return undefined;
    });
  }

  /** Writes the plan; what stands after a conflict is read at once. */
  async #write(plan: SeatPlan): Promise<void> {
    const { table, version } = this.#stored;
    const given = [...this.#giving.keys()];
    const taken = [...plan.taken];
    if (given.length + taken.length > 0) {
      this.#attempts.push({ base: table.revision, given, taken });
    }
    for (const index of taken) {
      this.#deps.log.event("seat_taken_over", { index });
      this.#deps.metrics.count("seats.takeovers");
    }
    await this.#call(async () => {
      const written = await this.#store.write(plan.table, version);
      if (written.isOk()) {
        this.#observe(written.value, this.#deps.clock.now());
        return undefined;
      }
      const read = await this.#store.read();
      if (read.isErr()) return read.error;
      this.#observe(read.value, this.#deps.clock.now());
      return written.error.code === "conflict" ? undefined : written.error;
    });
  }

  async #call(run: () => Promise<Failure | undefined>): Promise<void> {
    this.#busy = true;
    const failure = await run();
    this.#busy = false;
    this.#failures = failure ? this.#failures + 1 : 0;
    if (failure === undefined) return;
    this.#deps.log.event("seats_store_failed", { code: failure.code });
    const wait = this.#timing.renewMs * 2 ** Math.min(this.#failures - 1, 10);
    this.#nextTryAt = this.#deps.clock.now() + Math.min(MAX_BACKOFF_MS, wait);
  }
}
