/**
 * Seat leases: the store holds one seat table per zone, and one instance of
 * the zone renews it for all. While the store is unreachable, promises between
 * the zone's instances extend the leases.
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
import { rendezvousOrder } from "./rendezvous_owner.ts";
import { currentLease, SeatPromiseTable } from "./seat_lease.ts";
import { fromMessage, toMessage } from "./seat_messages.ts";
import { SeatObserver } from "./seat_observer.ts";
import { planSeats, type SeatPlan, takeoverDelayMs } from "./seat_plan.ts";
import { SeatStore, type StoredTable } from "./seat_store.ts";
import {
  EMPTY_TABLE,
  type Holder,
  holdersOf,
  type RenewalRequest,
  sameHolder,
  seatCount,
} from "./seat_table.ts";
import {
  DEFAULT_SEAT_TIMING,
  maxInFlightMs,
  type SeatTiming,
} from "./seat_timing.ts";
import type { HeldSeat, SeatDirectory, SeatEntry } from "./seats.ts";
import { ZonePeerTable } from "./zone_peer_table.ts";
import { RemoteSeatTables } from "./remote_seat_tables.ts";

/** Dependencies of `LeasedSeats`. */
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

/** A conditional write whose outcome is not known yet. */
interface PendingWrite {
  readonly base: number;
  /** Seats that the write transfers from this instance. */
  readonly released: readonly number[];
  /** Seats that the write takes over from other instances. */
  readonly taken: readonly number[];
}

const MAX_BACKOFF_MS = 16_000;
const MAX_HAND_OVER_ATTEMPTS = 5;

/** Holds seats by lease and takes part in renewing those of the zone. */
export class LeasedSeats implements SeatDirectory, PeerSubsystem {
  readonly #deps: LeasedSeatsDeps;
  readonly #timing: SeatTiming;
  readonly #self: Holder;
  readonly #store: SeatStore;
  readonly #observer = new SeatObserver();
  readonly #promises = new SeatPromiseTable();
  readonly #zonePeers = new ZonePeerTable();
  readonly #remoteTables = new RemoteSeatTables();
  /** Revisions of the table copies that each peer last reported, by zone. */
  readonly #peerRevisions = new Map<string, ReadonlyMap<string, number>>();
  /** Own seats that are no longer used, with the time at which use stopped. */
  readonly #releasing = new Map<number, number>();
  #stored: StoredTable = { table: EMPTY_TABLE, version: undefined };
  #pendingWrites: PendingWrite[] = [];
  #loaded = false;
  #calling = false;
  #leaving = false;
  #consecutiveFailures = 0;
  #retryAt = -Infinity;
  #startedAt: number | undefined;
  #observedAt = -Infinity;

  constructor(deps: LeasedSeatsDeps) {
    this.#deps = deps;
    this.#timing = deps.timing ?? DEFAULT_SEAT_TIMING;
    this.#self = { holder: deps.instance, incarnation: deps.incarnation };
    this.#store = new SeatStore(deps);
  }

  held(now: number): HeldSeat[] {
    const { table } = this.#stored;
    const zone = this.#deps.zone;
    const excluded = this.#excludedSeats();
    return table.rows.slice(0, this.#seats()).flatMap((_row, index) => {
      if (excluded.has(index)) return [];
      const lease = currentLease(table, index, {
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
    return [own, ...this.#remoteTables.entries()].flatMap(([zone, { table }]) =>
      table.rows.map((row, index) => ({
        zone: zone as ZoneId,
        index,
        holder: row.holder === "" ? undefined : row.holder as InstanceId,
        incarnation: row.incarnation,
        epoch: row.epoch,
      }))
    );
  }

  /** Renews, takes and hands over seats; makes one store call at a time. */
  run(now: number): void {
    this.#startedAt ??= now;
    this.#zonePeers.evictIdle(now, this.#timing.holdMs);
    this.#deps.metrics.gauge("seats.held", this.held(now).length);
    if (this.#seats() === 0 || this.#calling || now < this.#retryAt) return;
    if (!this.#loaded) return void this.#read();
    this.#rebalance(now);
    const plan = this.#plan(now);
    if (this.#shouldWrite(plan, now)) void this.#write(plan);
  }

  /** From now on, takes no seats; vacant and released ones go to zone peers. */
  leave(): void {
    this.#leaving = true;
  }

  /**
   * Hands over every seat; call it once no requests run on them. Resolves when
   * the store has recorded it or after `MAX_HAND_OVER_ATTEMPTS` writes.
   */
  async handOver(): Promise<void> {
    this.#leaving = true;
    for (let i = 0; i < MAX_HAND_OVER_ATTEMPTS; i++) {
      const { rows } = this.#stored.table;
      rows.forEach((row, index) => {
        if (sameHolder(row, this.#self)) this.#releasing.set(index, -Infinity);
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
      digests: this.#remoteTables.digests(),
    });
    part.digests.push(
      create(SeatDigestSchema, {
        zone: this.#deps.zone,
        known: table.revision,
      }),
    );
    const peer = this.#zonePeers.latest(to);
    if (peer) part.promise = this.#promiseTo(peer);
    const known = this.#peerRevisions.get(to) ?? new Map<string, number>();
    const own = known.get(this.#deps.zone) ?? 0;
    const newest = peer ? table.revision : table.shape;
    if (version !== undefined && newest > own) {
      part.tables.push(toMessage(this.#deps.zone, this.#stored));
    }
    for (const [zone, stored] of this.#remoteTables.newerThan(known)) {
      part.tables.push(toMessage(zone, stored));
    }
    batch.membership = part;
  }

  receive(batch: Batch, from: Sender): void {
    const part = batch.membership;
    if (part === undefined) return;
    const now = this.#deps.clock.now();
    this.#peerRevisions.set(
      from.instance,
      new Map(part.digests.map((d) => [d.zone, d.known])),
    );
    for (const message of part.tables) {
      const stored = fromMessage(message);
      if (stored === undefined) continue;
      if (message.zone === this.#deps.zone) this.#observe(stored, now);
      else this.#remoteTables.put(message.zone, stored);
    }
    if (from.zone !== this.#deps.zone) return;
    this.#zonePeers.receive(from, part, now);
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
   * Seats being released, now or by a write of unknown outcome: the write may
   * take effect later, and the seat then belongs to another instance.
   */
  #excludedSeats(): Set<number> {
    const released = this.#pendingWrites.flatMap((a) => a.released);
    return new Set([...this.#releasing.keys(), ...released]);
  }

  #observe(stored: StoredTable, now: number): void {
    if (stored.table.revision <= this.#stored.table.revision) return;
    this.#stored = stored;
    this.#loaded = true;
    this.#observedAt = now;
    this.#observer.observe(stored.table, now);
    this.#promises.retain(holdersOf(stored.table));
    this.#pendingWrites = this.#pendingWrites.filter((a) =>
      a.base >= stored.table.revision
    );
    for (const index of this.#releasing.keys()) {
      const row = stored.table.rows[index];
      if (!row || !sameHolder(row, this.#self)) this.#releasing.delete(index);
    }
  }

  /**
   * A promise omits seats that this instance has tried to take over, since a
   * write of unknown outcome may already be in the store. A leaving instance
   * takes no more seats, so its promise is final; without that, the others'
   * seats would shrink to the floor if it leaves during a store outage.
   */
  #promiseTo(peer: RenewalRequest) {
    const taken = this.#pendingWrites.flatMap((a) => a.taken);
    const seats = this.#stored.table.rows.flatMap((row, index) =>
      sameHolder(row, peer) && !taken.includes(index)
        ? [create(SeatNameSchema, { index, epoch: row.epoch })]
        : []
    );
    const { incarnation, askedMs } = peer;
    const final = this.#leaving;
    return create(SeatPromiseSchema, { incarnation, askedMs, seats, final });
  }

  #renewalRequest(now: number): RenewalRequest {
    const seen = this.#stored.table.revision;
    return { ...this.#self, askedMs: Math.floor(now), seen };
  }

  #maxInFlightMs(): number {
    return maxInFlightMs(this.#deps.document());
  }

  #plan(now: number): SeatPlan {
    const zonePeers = this.#zonePeers.live(now);
    const inFlightMs = this.#maxInFlightMs();
    const delayMs = takeoverDelayMs(this.#timing, inFlightMs);
    const releasable = [...this.#releasing].filter(([, since]) =>
      now - since >= inFlightMs
    );
    return planSeats({
      table: this.#stored.table,
      observer: this.#observer,
      self: this.#renewalRequest(now),
      leaving: this.#leaving,
      zonePeers: zonePeers.filter((m) => !m.leaving),
      leavingPeers: zonePeers.filter((m) => m.leaving),
      releasable: new Set(releasable.map(([index]) => index)),
      isPromised: (holder) => this.#zonePeers.heardAt(holder) + delayMs > now,
      seats: this.#seats(),
      maxInFlightMs: inFlightMs,
      timing: this.#timing,
      now,
    });
  }

  /** The holder of most seats releases one if a peer has 2 or more fewer. */
  #rebalance(now: number): void {
    const { rows } = this.#stored.table;
    const zonePeers = this.#zonePeers.live(now).filter((m) => !m.leaving);
    const own = seatCount(rows, this.#self);
    const counts = zonePeers.map((m) => seatCount(rows, m));
    const holdsMost = counts.every((n) => n <= own);
    const imbalanced = holdsMost && counts.some((n) => n + 2 <= own);
    if (!imbalanced) this.#releasing.clear();
    else if (this.#releasing.size === 0) {
      const index = rows.findLastIndex((r) => sameHolder(r, this.#self));
      this.#releasing.set(index, now);
    }
  }

  /** Whether this instance should write the plan now. */
  #shouldWrite(plan: SeatPlan, now: number): boolean {
    const { zone, instance } = this.#deps;
    const { renewMs, failoverStepMs } = this.#timing;
    const zonePeers = this.#zonePeers.live(now).map((m) => m.holder);
    const order = rendezvousOrder(`seats ${zone}`, [
      ...new Set([...zonePeers, instance]),
    ]);
    const position = order.indexOf(instance);
    const silentMs = now - Math.max(this.#observedAt, this.#startedAt ?? now);
    if (plan.urgent && position === 0) return true;
    if (plan.own && silentMs >= failoverStepMs) return true;
    if (plan.taken.length > 0) return true;
    return silentMs >= renewMs + position * failoverStepMs;
  }

  async #read(): Promise<void> {
    await this.#runStoreCall(async () => {
      const read = await this.#store.read();
      if (read.isErr()) return read.error;
      this.#loaded = true;
      this.#observe(read.value, this.#deps.clock.now());
      return undefined;
    });
  }

  /** Writes the plan, and reads the stored table at once if the write fails. */
  async #write(plan: SeatPlan): Promise<void> {
    const { table, version } = this.#stored;
    const released = [...this.#releasing.keys()];
    const taken = [...plan.taken];
    if (released.length + taken.length > 0) {
      this.#pendingWrites.push({ base: table.revision, released, taken });
    }
    for (const index of taken) {
      this.#deps.log.event("seat_taken_over", { index });
      this.#deps.metrics.count("seats.takeovers");
    }
    await this.#runStoreCall(async () => {
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

  async #runStoreCall(run: () => Promise<Failure | undefined>): Promise<void> {
    this.#calling = true;
    const failure = await run();
    this.#calling = false;
    this.#consecutiveFailures = failure ? this.#consecutiveFailures + 1 : 0;
    if (failure === undefined) return;
    this.#deps.log.event("seats_store_failed", { code: failure.code });
    const backoffMs = this.#timing.renewMs *
      2 ** Math.min(this.#consecutiveFailures - 1, 10);
    this.#retryAt = this.#deps.clock.now() +
      Math.min(MAX_BACKOFF_MS, backoffMs);
  }
}
