/**
 * Several instances' budgets on one virtual time line, with a network that
 * drops, delays, repeats, reorders and cuts, and a check after every event
 * that no sum of parts passes its total.
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

/** What goes wrong between instances. */
export interface Faults {
  drop: number;
  repeat: number;
  /** One way, in milliseconds; each message draws its own delay. */
  minDelayMs: number;
  maxDelayMs: number;
}

/** The division and the figures of one generation of the document. */
export interface FleetFigures {
  readonly zones: Readonly<Record<string, number>>;
  readonly rates: Readonly<
    Record<string, { rate_per_s: number; burst: number }>
  >;
  /** Slots of the one endpoint that each zone has. */
  readonly slots: number;
  readonly deadlineMs: number;
}

/** Seats as a process of the fleet has them. */
export type FleetSeats =
  & SeatDirectory
  & Partial<PeerSubsystem>
  & { run(now: number): void };

/** How a fleet is made. */
export interface FleetOptions {
  readonly faults?: Partial<Faults>;
  /** Seats as the product leases them, instead of quicker fakes. */
  readonly leased?: boolean;
  /** Time on the way, in milliseconds, in place of the faults' range. */
  readonly delayMs?: (fromZone: string, toZone: string) => number;
}

/** One process. */
export interface FleetNode {
  readonly instance: string;
  readonly zone: string;
  readonly clock: ProcessClock;
  readonly sender: Sender;
  readonly seats: FleetSeats;
  readonly platform: FaultyPlatform;
  readonly budgets: FleetBudgets;
  readonly heardAt: Map<string, number>;
  inFlight: number;
  /** Requests that found no slot since the last tick. */
  wanted: number;
  generation: number;
}

const TICK_MS = 100;
const SILENT_MS = 2_000;
const CALL_TIMEOUT_MS = 150;
const MAX_DRIFT = 0.008;

/** A fleet under test. */
export class BudgetFleet {
  readonly time = new VirtualTime();
  readonly random: Random;
  readonly faults: Faults;
  readonly table = new SeatTable();
  readonly nodes: FleetNode[] = [];
  readonly admitted: { account: string; at: number }[] = [];
  /** How often all sums were checked. */
  checks = 0;
  readonly #opts: FleetOptions;
  readonly #store: MemoryPlatform;
  readonly #running = new Map<string, number>();
  readonly #cut = new Set<string>();
  readonly #generations: {
    document: SteeringDocument;
    figures: FleetFigures;
  }[];
  #lives = 0;

  constructor(seed: number, figures: FleetFigures, opts: FleetOptions = {}) {
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
    this.#generations = [{ figures, document: documentOf(figures) }];
    for (const [zone, seats] of Object.entries(figures.zones)) {
      this.table.ensure(zone, seats);
      for (let i = 1; i <= seats; i++) this.start(`${zone}-${i}`, zone);
    }
  }

  get figures(): FleetFigures {
    return this.#generations[this.#generations.length - 1]!.figures;
  }

  /** The newest document. */
  get document(): SteeringDocument {
    return this.#generations[this.#generations.length - 1]!.document;
  }

  live(): FleetNode[] {
    return this.nodes.filter((n) => !n.clock.dead);
  }

  /** Starts a process; one of the same name is a new life of it. */
  start(instance: string, zone: string): FleetNode {
    this.kill(instance);
    const incarnation = `life-${++this.#lives}`;
    const clock = new ProcessClock(this.time, {
      speed: 1 + (this.random.next() * 2 - 1) * MAX_DRIFT,
      offset: this.random.next() * 10_000,
    });
    const sender = create(SenderSchema, { instance, zone, incarnation });
    const platform = new FaultyPlatform(this.#store, clock, this.random);
    const seats = this.#seatsFor(sender, clock, {
      platform,
      figures: () => this.#generations[node.generation - 1]?.figures,
    });
    const node: FleetNode = {
      instance,
      zone,
      clock,
      sender,
      seats,
      platform,
      heardAt: new Map(),
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

  /** Cuts a zone off from all others, or joins it again. */
  cut(zone: string, off: boolean): void {
    if (off) this.#cut.add(zone);
    else this.#cut.delete(zone);
  }

  /** A new document, which each process takes over when it hears of it. */
  change(figures: FleetFigures, maxLagMs: number): void {
    this.#generations.push({ figures, document: documentOf(figures) });
    const generation = this.#generations.length;
    for (const [zone, seats] of Object.entries(figures.zones)) {
      this.table.ensure(zone, seats);
    }
    for (const node of this.live()) {
      const lag = this.random.next() * maxLagMs;
      node.clock.after(lag, () => this.#adopt(node, generation));
    }
  }

  /** One request of an account; `undefined` while the process is paused. */
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

  /** Runs one request at the zone's endpoint if there is a slot for it. */
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
    this.time.after(Math.min(ms, this.figures.deadlineMs), () => {
      this.#running.set(node.zone, this.running(node.zone) - 1);
      clock.whenRunning(() => node.inFlight -= 1);
    });
    return true;
  }

  /** Requests that a zone's endpoint has at this moment, whoever sent them. */
  running(zone: string): number {
    return this.#running.get(zone) ?? 0;
  }

  /** Moves time on; after every event all sums are checked. */
  async advance(ms: number): Promise<void> {
    await this.time.advance(ms, () => this.check());
  }

  /**
   * Admissions above what one bucket for all processes would let pass. Its
   * rate is what clocks that run fast by the drift make of it.
   */
  overRate(account: string): number {
    const { rate_per_s, burst } = this.figures.rates[account]!;
    const ratePerS = rate_per_s * (1 + MAX_DRIFT);
    const bucket = new TokenBucket({ ratePerS, burst }, 0, burst);
    return this.admitted.filter((a) => a.account === account)
      .filter(({ at }) => !bucket.take(at, 1 - EPSILON)).length;
  }

  /** Asserts that no sum over all processes passes its total. */
  check(): void {
    this.checks += 1;
    for (const account of Object.keys(this.figures.rates)) {
      this.#checkRate(account);
    }
    for (const zone of Object.keys(this.figures.zones)) this.#checkSlots(zone);
  }

  #checkRate(account: string): void {
    const burst = Math.max(
      ...this.#generations.map((g) => g.figures.rates[account]?.burst ?? 0),
    );
    let parts = 0;
    let room = 0;
    let tokens = 0;
    for (const { clock, budgets } of this.live()) {
      const spendable = budgets.spendable(account as AccountId, clock.now());
      parts += spendable.fraction;
      room += spendable.room;
      tokens += spendable.tokens;
    }
    invariant(parts <= 1 + EPSILON * 100, `${account}: parts of ${parts}`);
    invariant(room <= 1 + EPSILON * 100, `${account}: room of ${room}`);
    invariant(
      tokens <= burst + EPSILON * 1_000,
      `${account}: ${tokens} tokens, more than the burst of ${burst}`,
    );
  }

  #checkSlots(zone: string): void {
    const endpoint = endpointOf(zone);
    const slots = Math.max(...this.#generations.map((g) => g.figures.slots));
    const limits = this.live()
      .filter((n) => n.zone === zone)
      .reduce(
        (n, { clock, budgets }) =>
          n + budgets.slotLimits.limit(endpoint, clock.now()),
        0,
      );
    invariant(limits <= slots, `${endpoint}: limits of ${limits} of ${slots}`);
    const running = this.running(zone);
    invariant(
      running <= slots,
      `${endpoint}: ${running} run in ${slots} slots`,
    );
  }

  #seatsFor(
    { instance, zone, incarnation }: Sender,
    clock: ProcessClock,
    { platform, figures }: {
      platform: FaultyPlatform;
      figures: () => FleetFigures | undefined;
    },
  ): FleetSeats {
    if (this.#opts.leased) {
      return new LeasedSeats({
        instance: instance as InstanceId,
        zone: zone as ZoneId,
        incarnation,
        clock,
        platform,
        log: new SilentLog(),
        metrics: new MemoryMetrics(),
        document: () => this.#documentOf(figures()),
      });
    }
    return new FakeSeats({
      table: this.table,
      clock,
      instance,
      incarnation,
      zone,
      restMs: maxInFlightMs(this.#generations[0]!.document),
      seats: () => figures()?.zones[zone] ?? 0,
    });
  }

  #documentOf(figures: FleetFigures | undefined): SteeringDocument {
    const found = this.#generations.find((g) => g.figures === figures);
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
    node.heardAt.set(from.instance, node.clock.now());
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
    return !this.#cut.has(from.zone) && !this.#cut.has(to.zone);
  }

  #peersOf(node: FleetNode): ReachablePeer[] {
    const oldest = node.clock.now() - SILENT_MS;
    const heard = [...node.heardAt].filter(([, at]) => at >= oldest);
    return heard.flatMap(([instance]) => {
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

function documentOf(figures: FleetFigures): SteeringDocument {
  const accounts = Object.keys(figures.rates);
  const zones = Object.entries(figures.zones);
  return parseDocument({
    accounts: {
      accounts: Object.fromEntries(accounts.map((id) => [id, { keys: [] }])),
    },
    rates: { rates: figures.rates },
    regions: {
      regions: Object.fromEntries(zones.map(([zone, instances]) => [
        zone,
        { zones: { [zone]: { instances } } },
      ])),
    },
    services: {
      services: {
        service: {
          deadline_ms: figures.deadlineMs,
          endpoints: Object.fromEntries(zones.map(([zone]) => [
            endpointOf(zone),
            {
              zone,
              url: "http://127.0.0.1:1",
              slots: figures.slots,
              connections: 100,
            },
          ])),
        },
      },
    },
  })._unsafeUnwrap();
}
