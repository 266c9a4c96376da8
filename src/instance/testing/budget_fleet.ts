/**
 * Budgets of several simulated instances in virtual time, over a network that
 * drops, delays, duplicates and reorders messages and partitions zones. After
 * every event it checks that no sum of shares exceeds its total.
 *
 * @module
 */
import { clone, create } from "@bufbuild/protobuf";
import { ok, type Result } from "neverthrow";
import {
  type AccountId,
  type EndpointId,
  fail,
  type Failure,
  type InstanceId,
  MemoryMetrics,
  type Random,
  SeededRandom,
  SilentLog,
  type ZoneId,
} from "../../core/mod.ts";
import { EPSILON, invariant } from "../../decisions/budgets/mod.ts";
import { TokenBucket } from "../../decisions/limits/mod.ts";
import {
  emptyDocument,
  parseDocument,
  type SteeringDocument,
} from "../../document/mod.ts";
import {
  type BorrowAnswer,
  BorrowAnswerSchema,
  type BorrowCall,
  BorrowCallSchema,
} from "../../gen/budget_pb.ts";
import {
  type Batch,
  BatchSchema,
  type Sender,
  SenderSchema,
} from "../../gen/peer_pb.ts";
import {
  LeasedSeats,
  maxInFlightMs,
  type SeatDirectory,
} from "../../membership/mod.ts";
import { FaultyPlatform } from "../../membership/testing/faulty_platform.ts";
import type { PeerSubsystem } from "../../peers/mod.ts";
import { MemoryPlatform } from "../../store/mod.ts";
import { FleetBudgets, type ReachablePeer } from "../fleet_budgets.ts";
import { FakeSeats, SeatTable } from "./fake_seats.ts";
import { ProcessClock, VirtualTime } from "./virtual_time.ts";

/** Network faults between instances. */
export interface Faults {
  drop: number;
  repeat: number;
  /** One-way delay, in milliseconds; drawn for each message. */
  minDelayMs: number;
  maxDelayMs: number;
}

/** Zones, rates and slots of one generation of the document. */
export interface FleetSpec {
  readonly zones: Readonly<Record<string, number>>;
  readonly rates: Readonly<
    Record<string, { rate_per_s: number; burst: number }>
  >;
  /** Slots of each zone's only endpoint. */
  readonly slots: number;
  readonly deadlineMs: number;
}

/** The seats component of a process. */
export type FleetSeats =
  & SeatDirectory
  & Partial<PeerSubsystem>
  & { run(now: number): void };

/** Options of {@link BudgetFleet}. */
export interface FleetOptions {
  readonly faults?: Partial<Faults>;
  /** Whether to use the real leased seats instead of the faster fakes. */
  readonly useLeasedSeats?: boolean;
  /** One-way delay, in milliseconds, instead of the faults' range. */
  readonly delayMs?: (fromZone: string, toZone: string) => number;
}

/** One simulated process. */
export interface FleetNode {
  readonly instance: string;
  readonly zone: string;
  readonly clock: ProcessClock;
  readonly sender: Sender;
  readonly seats: FleetSeats;
  readonly platform: FaultyPlatform;
  readonly budgets: FleetBudgets;
  readonly lastBatchAt: Map<string, number>;
  inFlight: number;
  /** Requests without a free slot since the last tick. */
  wanted: number;
  generation: number;
}

const TICK_MS = 100;
const PEER_TIMEOUT_MS = 2_000;
const CALL_TIMEOUT_MS = 150;
const MAX_DRIFT = 0.008;

export class BudgetFleet {
  readonly time = new VirtualTime();
  readonly random: Random;
  readonly faults: Faults;
  readonly table = new SeatTable();
  readonly nodes: FleetNode[] = [];
  readonly admitted: { account: string; at: number }[] = [];
  /** Number of checks of all sums. */
  checks = 0;
  readonly #opts: FleetOptions;
  readonly #store: MemoryPlatform;
  readonly #running = new Map<string, number>();
  readonly #isolatedZones = new Set<string>();
  readonly #generations: {
    document: SteeringDocument;
    spec: FleetSpec;
  }[];
  #startedCount = 0;

  constructor(seed: number, spec: FleetSpec, opts: FleetOptions = {}) {
    this.#opts = opts;
    this.#store = new MemoryPlatform(new ProcessClock(this.time));
    this.random = new SeededRandom(seed);
    this.faults = {
      drop: 0,
      repeat: 0,
      minDelayMs: 1,
      maxDelayMs: 15,
      ...opts.faults,
    };
    this.#generations = [{ spec, document: documentOf(spec) }];
    for (const [zone, seats] of Object.entries(spec.zones)) {
      this.table.ensureSeats(zone, seats);
      for (let i = 1; i <= seats; i++) this.start(`${zone}-${i}`, zone);
    }
  }

  get spec(): FleetSpec {
    return this.#generations[this.#generations.length - 1]!.spec;
  }

  /** The newest document. */
  get document(): SteeringDocument {
    return this.#generations[this.#generations.length - 1]!.document;
  }

  live(): FleetNode[] {
    return this.nodes.filter((n) => !n.clock.dead);
  }

  /** Starts a process; one of the same name is replaced by a new incarnation. */
  start(instance: string, zone: string): FleetNode {
    this.kill(instance);
    const incarnation = `life-${++this.#startedCount}`;
    const clock = new ProcessClock(this.time, {
      speed: 1 + (this.random.next() * 2 - 1) * MAX_DRIFT,
      offset: this.random.next() * 10_000,
    });
    const sender = create(SenderSchema, { instance, zone, incarnation });
    const platform = new FaultyPlatform(this.#store, clock, this.random);
    const seats = this.#seatsFor(sender, clock, {
      platform,
      spec: () => this.#generations[node.generation - 1]?.spec,
    });
    const node: FleetNode = {
      instance,
      zone,
      clock,
      sender,
      seats,
      platform,
      lastBatchAt: new Map(),
      inFlight: 0,
      wanted: 0,
      generation: 0,
      budgets: new FleetBudgets({
        self: { instance, incarnation, zone, region: zone },
        clock,
        seats,
        transport: { borrow: (to, call) => this.#borrow(node, to, call) },
        peers: () => this.#peersOf(node),
        inFlight: () => node.inFlight,
      }),
    };
    this.nodes.push(node);
    this.#adopt(node, this.#generations.length);
    clock.after(this.random.next() * TICK_MS, () => this.#tick(node));
    return node;
  }

  kill(instance: string): void {
    for (const node of this.nodes) {
      if (node.instance === instance && !node.clock.dead) {
        node.clock.dead = true;
        node.budgets.close();
      }
    }
  }

  pause(node: FleetNode, ms: number): void {
    node.clock.pausedUntil = this.time.now + ms;
  }

  /** Partitions a zone from all others, or heals the partition. */
  cut(zone: string, off: boolean): void {
    if (off) this.#isolatedZones.add(zone);
    else this.#isolatedZones.delete(zone);
  }

  /** Publishes a new document, which each process adopts after a random lag. */
  change(spec: FleetSpec, maxLagMs: number): void {
    this.#generations.push({ spec, document: documentOf(spec) });
    const generation = this.#generations.length;
    for (const [zone, seats] of Object.entries(spec.zones)) {
      this.table.ensureSeats(zone, seats);
    }
    for (const node of this.live()) {
      const lag = this.random.next() * maxLagMs;
      node.clock.after(lag, () => this.#adopt(node, generation));
    }
  }

  /** Sends one request of an account; `undefined` if the process is paused or dead. */
  request(
    node: FleetNode,
    account: string,
    timeoutMs: number,
  ): Promise<Result<void, Failure>> | undefined {
    if (node.clock.paused || node.clock.dead) return undefined;
    const deadline = node.clock.now() + timeoutMs;
    return node.budgets.limiter.take(account as AccountId, { deadline })
      .then((result) => {
        if (result.isOk()) this.admitted.push({ account, at: this.time.now });
        return result;
      });
  }

  /** Runs one request at the zone's endpoint if a slot is free. */
  work(node: FleetNode, ms: number): boolean {
    const { clock } = node;
    if (clock.paused || clock.dead) return false;
    const endpoint = endpointOf(node.zone);
    const limit = node.budgets.slotLimits.limit(endpoint, clock.now());
    if (node.inFlight >= limit) {
      node.wanted += 1;
      return false;
    }
    node.inFlight += 1;
    this.#running.set(node.zone, this.running(node.zone) + 1);
    this.time.after(Math.min(ms, this.spec.deadlineMs), () => {
      this.#running.set(node.zone, this.running(node.zone) - 1);
      clock.whenRunning(() => node.inFlight -= 1);
    });
    return true;
  }

  /** Requests in flight at a zone's endpoint, from all processes. */
  running(zone: string): number {
    return this.#running.get(zone) ?? 0;
  }

  /** Advances time and checks all sums after every event. */
  async advance(ms: number): Promise<void> {
    await this.time.advance(ms, () => this.check());
  }

  /**
   * Number of admissions that one bucket shared by all processes would refuse.
   * Its rate is raised by the maximum clock drift.
   */
  countOverRate(account: string): number {
    const { rate_per_s, burst } = this.spec.rates[account]!;
    const ratePerS = rate_per_s * (1 + MAX_DRIFT);
    const bucket = new TokenBucket({ ratePerS, burst }, 0, burst);
    return this.admitted.filter((a) => a.account === account)
      .filter(({ at }) => !bucket.take(at, 1 - EPSILON)).length;
  }

  /** Asserts that no sum over all processes exceeds its total. */
  check(): void {
    this.checks += 1;
    for (const account of Object.keys(this.spec.rates)) {
      this.#checkRate(account);
    }
    for (const zone of Object.keys(this.spec.zones)) this.#checkSlots(zone);
  }

  #checkRate(account: string): void {
    const burst = Math.max(
      ...this.#generations.map((g) => g.spec.rates[account]?.burst ?? 0),
    );
    let shares = 0;
    let room = 0;
    let tokens = 0;
    for (const { clock, budgets } of this.live()) {
      const spendable = budgets.spendable(account as AccountId, clock.now());
      shares += spendable.fraction;
      room += spendable.room;
      tokens += spendable.tokens;
    }
    invariant(
      shares <= 1 + EPSILON * 100,
      `${account}: shares add up to ${shares}`,
    );
    invariant(room <= 1 + EPSILON * 100, `${account}: room adds up to ${room}`);
    invariant(
      tokens <= burst + EPSILON * 1_000,
      `${account}: ${tokens} tokens, more than the burst of ${burst}`,
    );
  }

  #checkSlots(zone: string): void {
    const endpoint = endpointOf(zone);
    const slots = Math.max(
      ...this.#generations.map((g) => g.spec.slots),
    );
    const limits = this.live()
      .filter((n) => n.zone === zone)
      .reduce(
        (n, { clock, budgets }) =>
          n + budgets.slotLimits.limit(endpoint, clock.now()),
        0,
      );
    invariant(
      limits <= slots,
      `${endpoint}: limits add up to ${limits}, more than ${slots} slots`,
    );
    const running = this.running(zone);
    invariant(
      running <= slots,
      `${endpoint}: ${running} requests in flight in ${slots} slots`,
    );
  }

  #seatsFor(
    { instance, zone, incarnation }: Sender,
    clock: ProcessClock,
    { platform, spec }: {
      platform: FaultyPlatform;
      spec: () => FleetSpec | undefined;
    },
  ): FleetSeats {
    if (this.#opts.useLeasedSeats) {
      return new LeasedSeats({
        instance: instance as InstanceId,
        zone: zone as ZoneId,
        incarnation,
        clock,
        platform,
        log: new SilentLog(),
        metrics: new MemoryMetrics(),
        document: () => this.#documentOf(spec()),
      });
    }
    return new FakeSeats({
      table: this.table,
      clock,
      instance,
      incarnation,
      zone,
      seatVacancyMs: maxInFlightMs(this.#generations[0]!.document),
      seats: () => spec()?.zones[zone] ?? 0,
    });
  }

  #documentOf(spec: FleetSpec | undefined): SteeringDocument {
    const found = this.#generations.find((g) => g.spec === spec);
    return found?.document ?? emptyDocument();
  }

  #adopt(node: FleetNode, generation: number): void {
    if (generation <= node.generation) return;
    const { document } = this.#generations[generation - 1]!;
    node.generation = generation;
    node.budgets.adopt(document, generation);
    node.budgets.slotLimits.adopt(document);
  }

  #tick(node: FleetNode): void {
    node.seats.run(node.clock.now());
    const { inFlight, wanted } = node;
    const endpoint = endpointOf(node.zone);
    node.budgets.slotLimits.report(endpoint, { inFlight, wanted });
    node.wanted = 0;
    node.budgets.run(node.clock.now());
    for (const peer of this.live()) {
      if (peer !== node) this.#exchange(node, peer);
    }
    node.clock.after(TICK_MS, () => this.#tick(node));
  }

  #exchange(from: FleetNode, to: FleetNode): void {
    const batch = this.#batch(from, to);
    this.#send(from, to, () => {
      this.#absorb(to, from, batch);
      const answer = this.#batch(to, from);
      this.#send(to, from, () => this.#absorb(from, to, answer));
    });
  }

  #batch(from: FleetNode, to: FleetNode): Batch {
    const batch = create(BatchSchema, { sender: from.sender });
    from.seats.fill?.(batch, to.instance);
    from.budgets.fill(batch, to.instance);
    return batch;
  }

  #absorb(node: FleetNode, from: FleetNode, batch: Batch): void {
    node.lastBatchAt.set(from.instance, node.clock.now());
    const copy = clone(BatchSchema, batch);
    node.seats.receive?.(copy, from.sender);
    node.budgets.receive(copy, from.sender);
  }

  #borrow(
    from: FleetNode,
    instance: string,
    call: BorrowCall,
  ): Promise<Result<BorrowAnswer, Failure>> {
    return new Promise((resolve) => {
      const timer = from.clock.after(CALL_TIMEOUT_MS, () => {
        resolve(fail("peer_unavailable", "no answer in time"));
      });
      const to = this.live().find((n) => n.instance === instance);
      if (to === undefined) return;
      this.#send(from, to, () => {
        const answer = to.budgets.answer(clone(BorrowCallSchema, call));
        this.#send(to, from, () => {
          timer.close();
          resolve(ok(clone(BorrowAnswerSchema, answer)));
        });
      });
    });
  }

  #send(from: FleetNode, to: FleetNode, arrive: () => void): void {
    const copies = this.random.next() < this.faults.repeat ? 2 : 1;
    for (let i = 0; i < copies; i++) {
      if (this.random.next() < this.faults.drop) continue;
      const { minDelayMs, maxDelayMs } = this.faults;
      const ms = this.#opts.delayMs?.(from.zone, to.zone) ??
        minDelayMs + this.random.next() * (maxDelayMs - minDelayMs);
      this.time.after(ms, () => {
        if (this.#reaches(from, to)) to.clock.whenRunning(arrive);
      });
    }
  }

  #reaches(from: FleetNode, to: FleetNode): boolean {
    if (from.zone === to.zone) return true;
    return !this.#isolatedZones.has(from.zone) &&
      !this.#isolatedZones.has(to.zone);
  }

  #peersOf(node: FleetNode): ReachablePeer[] {
    const oldest = node.clock.now() - PEER_TIMEOUT_MS;
    const recent = [...node.lastBatchAt].filter(([, at]) => at >= oldest);
    return recent.flatMap(([instance]) => {
      const peer = this.nodes.findLast((n) => n.instance === instance);
      if (peer === undefined) return [];
      const { zone } = peer;
      return [{ instance, zone, region: zone, peerUrl: instance }];
    });
  }
}

/** The endpoint of a zone. */
export function endpointOf(zone: string): EndpointId {
  return `endpoint-${zone}` as EndpointId;
}

function documentOf(spec: FleetSpec): SteeringDocument {
  const accounts = Object.keys(spec.rates);
  const zones = Object.entries(spec.zones);
  return parseDocument({
    accounts: {
      accounts: Object.fromEntries(accounts.map((id) => [id, { keys: [] }])),
    },
    rates: { rates: spec.rates },
    regions: {
      regions: Object.fromEntries(zones.map(([zone, instances]) => [
        zone,
        { zones: { [zone]: { instances } } },
      ])),
    },
    services: {
      services: {
        service: {
          deadline_ms: spec.deadlineMs,
          endpoints: Object.fromEntries(zones.map(([zone]) => [
            endpointOf(zone),
            {
              zone,
              url: "http://127.0.0.1:1",
              slots: spec.slots,
              connections: 100,
            },
          ])),
        },
      },
    },
  })._unsafeUnwrap();
}
