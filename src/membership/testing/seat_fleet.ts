/**
 * Several instances' seats in one process, with clocks of their own, messages
 * that are dropped, late, repeated or cut, and one store.
 *
 * @module
 */
import { create } from "@bufbuild/protobuf";
import { setImmediate } from "node:timers/promises";
import {
  type Clock,
  type InstanceId,
  ManualClock,
  MemoryMetrics,
  SeededRandom,
  SilentLog,
  type Timer,
  type ZoneId,
} from "../../core/mod.ts";
import { parseDocument, type SteeringDocument } from "../../document/mod.ts";
import { BatchSchema, type Sender, SenderSchema } from "../../gen/peer_pb.ts";
import { MemoryPlatform } from "../../store/mod.ts";
import { LeasedSeats } from "../leased_seats.ts";
import { FaultyPlatform } from "./faulty_platform.ts";

export const STEP_MS = 100;
/** The longest deadline of the fleet's document, in milliseconds. */
export const DEADLINE_MS = 1_000;
const MAX_INBOX = 50;
const WINDOW = DEADLINE_MS / STEP_MS;

/** A clock that differs from the world's by an offset. */
class OffsetClock implements Clock {
  readonly #world: Clock;
  readonly #offset: number;

  constructor(world: Clock, offset: number) {
    this.#world = world;
    this.#offset = offset;
  }

  now(): number {
    return this.#world.now() + this.#offset;
  }

  wall(): number {
    return this.#world.wall();
  }

  after(ms: number, run: () => void): Timer {
    return this.#world.after(ms, run);
  }
}

/** One instance of the fleet. */
export interface FleetNode {
  readonly name: string;
  readonly zone: string;
  readonly incarnation: string;
  readonly clock: Clock;
  readonly seats: LeasedSeats;
  readonly platform: FaultyPlatform;
  alive: boolean;
  paused: boolean;
  leaving: boolean;
  inbox: (() => void)[];
  /** Use of each seat at the last steps, newest last. */
  readonly used: Map<number, number[]>;
}

/** Chances of what happens to a message. */
export interface MessageFaults {
  drop: number;
  repeat: number;
  /** Longest delay in steps. */
  delay: number;
}

/** A document with one zone a name, each with that many seats. */
export function seatDocument(zones: Record<string, number>): SteeringDocument {
  const entries = Object.entries(zones).map(([z, n]) => [z, { instances: n }]);
  return parseDocument({
    regions: { regions: { r: { zones: Object.fromEntries(entries) } } },
    services: { services: { s: { deadline_ms: DEADLINE_MS } } },
  })._unsafeUnwrap();
}

/** A fleet over one store. */
export class SeatFleet {
  readonly world: ManualClock = new ManualClock();
  readonly random: SeededRandom;
  readonly store: MemoryPlatform = new MemoryPlatform(this.world);
  readonly nodes: FleetNode[] = [];
  readonly messages: MessageFaults = { drop: 0, repeat: 0, delay: 0 };
  /** Pairs `from to` whose messages are lost, one way. */
  readonly cuts: Set<string> = new Set();
  document: SteeringDocument;
  #born = 0;

  constructor(seed: number, zones: Record<string, number> = { z: 3 }) {
    this.random = new SeededRandom(seed);
    this.document = seatDocument(zones);
  }

  /** Starts an instance. */
  add(name: string, zone = "z"): FleetNode {
    const clock = new OffsetClock(this.world, this.random.below(1_000_000));
    const platform = new FaultyPlatform(this.store, this.world, this.random);
    const incarnation = `${name}#${this.#born++}`;
    const seats = new LeasedSeats({
      instance: name as InstanceId,
      zone: zone as ZoneId,
      incarnation,
      clock,
      platform,
      log: new SilentLog(),
      metrics: new MemoryMetrics(),
      document: () => this.document,
    });
    const node = {
      name,
      zone,
      incarnation,
      clock,
      seats,
      platform,
      alive: true,
      paused: false,
      leaving: false,
      inbox: [],
      used: new Map(),
    };
    this.nodes.push(node);
    return node;
  }

  /** Ends an instance as `kill -9` does; its work at endpoints runs on. */
  kill(node: FleetNode): void {
    node.alive = false;
  }

  /** Lets a paused instance go on; what was sent to it meanwhile arrives. */
  resume(node: FleetNode): void {
    node.paused = false;
    for (const deliver of node.inbox.splice(0)) deliver();
  }

  /** Stops an instance in good order, after its work has ended. */
  async stop(node: FleetNode): Promise<void> {
    node.seats.leave();
    node.leaving = true;
    node.used.clear();
    await node.seats.handOver();
    for (const peer of this.#peersOf(node)) this.#exchange(node, peer);
    node.alive = false;
  }

  /** Cuts or mends every way between two groups. */
  cut(from: readonly FleetNode[], to: readonly FleetNode[], on = true): void {
    for (const a of from) {
      for (const b of to) {
        const pair = `${a.name} ${b.name}`;
        if (on) this.cuts.add(pair);
        else this.cuts.delete(pair);
      }
    }
  }

  /** Runs `ms` milliseconds; `check` is called after each step. */
  async run(ms: number, check: () => void = () => {}): Promise<void> {
    for (let t = 0; t < ms; t += STEP_MS) {
      this.world.advance(STEP_MS);
      for (const node of this.running()) {
        node.seats.run(node.clock.now());
        for (const peer of this.#peersOf(node)) this.#exchange(node, peer);
      }
      await setImmediate();
      this.#record();
      check();
    }
  }

  /** Instances that are alive and not paused. */
  running(): FleetNode[] {
    return this.nodes.filter((n) => n.alive && !n.paused);
  }

  /** The part of a zone's seats in use now, from 0 to the number of seats. */
  inUse(zone = "z"): number {
    return this.running().filter((n) => n.zone === zone)
      .flatMap((n) => n.seats.held(n.clock.now()))
      .reduce((sum, s) => sum + s.part, 0);
  }

  /** Parts held by one instance. */
  heldBy(node: FleetNode): number {
    return node.seats.held(node.clock.now()).reduce((n, s) => n + s.part, 0);
  }

  /** Seats of which more than the whole is in use, running work included. */
  overused(): string[] {
    const sums = new Map<string, number>();
    for (const node of this.nodes) {
      for (const [index, parts] of node.used) {
        const name = `${node.zone}/${index}`;
        const sum = (sums.get(name) ?? 0) + Math.max(0, ...parts);
        sums.set(name, sum);
      }
    }
    return [...sums].filter(([, sum]) => sum > 1 + 1e-9)
      .map(([name, sum]) => `${name}: ${sum}`);
  }

  /** Work begun at a step runs on for a deadline, also when its instance died. */
  #record(): void {
    const seats = 1 + Math.max(
      0,
      ...this.nodes.flatMap((n) => n.seats.entries().map((e) => e.index)),
    );
    for (const node of this.nodes) {
      const active = node.alive && !node.paused;
      const held = active ? node.seats.held(node.clock.now()) : [];
      for (let index = 0; index < seats; index++) {
        const part = held.find((s) => s.index === index)?.part ?? 0;
        const parts = [...node.used.get(index) ?? [], part].slice(-WINDOW);
        node.used.set(index, parts);
      }
    }
  }

  #peersOf(node: FleetNode): FleetNode[] {
    return this.nodes.filter((n) => n.alive && n !== node);
  }

  #exchange(from: FleetNode, to: FleetNode): void {
    const batch = create(BatchSchema, { sender: senderOf(from) });
    from.seats.fill(batch, to.name);
    this.#send(from, to, () => {
      to.seats.absorb(batch, senderOf(from));
      const answer = create(BatchSchema, { sender: senderOf(to) });
      to.seats.fill(answer, from.name);
      this.#send(to, from, () => from.seats.absorb(answer, senderOf(to)));
    });
  }

  #send(from: FleetNode, to: FleetNode, deliver: () => void): void {
    const { drop, repeat, delay } = this.messages;
    if (this.cuts.has(`${from.name} ${to.name}`)) return;
    if (this.random.next() < drop) return;
    const copies = this.random.next() < repeat ? 2 : 1;
    for (let i = 0; i < copies; i++) {
      this.#arrive(to, deliver, this.random.below(delay + 1) * STEP_MS);
    }
  }

  /** A paused instance reads its messages when it goes on. */
  #arrive(to: FleetNode, deliver: () => void, ms: number): void {
    if (ms > 0) {
      this.world.after(ms, () => this.#arrive(to, deliver, 0));
    } else if (to.paused) {
      to.inbox = [...to.inbox, deliver].slice(-MAX_INBOX);
    } else if (to.alive) deliver();
  }
}

function senderOf(node: FleetNode): Sender {
  return create(SenderSchema, {
    instance: node.name,
    zone: node.zone,
    incarnation: node.incarnation,
    leaving: node.leaving,
  });
}
