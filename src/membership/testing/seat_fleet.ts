/**
 * Simulates the seats of several instances with one store, separate clocks, and
 * messages that are dropped, delayed, repeated or blocked.
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
const MAX_INBOX_MESSAGES = 50;
const IN_FLIGHT_STEPS = DEADLINE_MS / STEP_MS;

/** A clock at a fixed offset from the simulation's clock. */
class OffsetClock implements Clock {
  readonly #base: Clock;
  readonly #offset: number;

  constructor(base: Clock, offset: number) {
    this.#base = base;
    this.#offset = offset;
  }

  now(): number {
    return this.#base.now() + this.#offset;
  }

  wall(): number {
    return this.#base.wall();
  }

  after(ms: number, run: () => void): Timer {
    return this.#base.after(ms, run);
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
  /** Part of each seat in use at the latest steps, newest last. */
  readonly usage: Map<number, number[]>;
}

/** Probabilities of message faults, and the longest delay. */
export interface MessageFaults {
  drop: number;
  repeat: number;
  /** Longest delay, in steps. */
  delay: number;
}

/** A document with the given number of seats in each zone. */
export function seatDocument(zones: Record<string, number>): SteeringDocument {
  const entries = Object.entries(zones).map(([z, n]) => [z, { instances: n }]);
  return parseDocument({
    regions: { regions: { r: { zones: Object.fromEntries(entries) } } },
    services: { services: { s: { deadline_ms: DEADLINE_MS } } },
  })._unsafeUnwrap();
}

/** A fleet of instances that share one store. */
export class SeatFleet {
  readonly clock: ManualClock = new ManualClock();
  readonly random: SeededRandom;
  readonly store: MemoryPlatform = new MemoryPlatform(this.clock);
  readonly nodes: FleetNode[] = [];
  readonly messages: MessageFaults = { drop: 0, repeat: 0, delay: 0 };
  /** One-way links, as `from to`, on which all messages are lost. */
  readonly blockedLinks: Set<string> = new Set();
  document: SteeringDocument;
  #incarnations = 0;

  constructor(seed: number, zones: Record<string, number> = { z: 3 }) {
    this.random = new SeededRandom(seed);
    this.document = seatDocument(zones);
  }

  /** Starts an instance. */
  add(name: string, zone = "z"): FleetNode {
    const clock = new OffsetClock(this.clock, this.random.below(1_000_000));
    const platform = new FaultyPlatform(this.store, this.clock, this.random);
    const incarnation = `${name}#${this.#incarnations++}`;
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
      usage: new Map(),
    };
    this.nodes.push(node);
    return node;
  }

  /** Ends an instance as `kill -9` does; its requests at endpoints continue. */
  kill(node: FleetNode): void {
    node.alive = false;
  }

  /** Resumes a paused instance and delivers the messages in its inbox. */
  resume(node: FleetNode): void {
    node.paused = false;
    for (const deliver of node.inbox.splice(0)) deliver();
  }

  /** Stops an instance gracefully, as after its last request has ended. */
  async stop(node: FleetNode): Promise<void> {
    node.seats.leave();
    node.leaving = true;
    node.usage.clear();
    await node.seats.handOver();
    for (const peer of this.#peersOf(node)) this.#exchange(node, peer);
    node.alive = false;
  }

  /** Blocks or restores the links from one group to another, one way. */
  cut(from: readonly FleetNode[], to: readonly FleetNode[], on = true): void {
    for (const a of from) {
      for (const b of to) {
        const pair = `${a.name} ${b.name}`;
        if (on) this.blockedLinks.add(pair);
        else this.blockedLinks.delete(pair);
      }
    }
  }

  /** Simulates `ms` milliseconds and calls `check` after each step. */
  async run(ms: number, check: () => void = () => {}): Promise<void> {
    for (let t = 0; t < ms; t += STEP_MS) {
      this.clock.advance(STEP_MS);
      for (const node of this.running()) {
        node.seats.run(node.clock.now());
        for (const peer of this.#peersOf(node)) this.#exchange(node, peer);
      }
      await setImmediate();
      this.#recordUsage();
      check();
    }
  }

  /** Instances that are alive and not paused. */
  running(): FleetNode[] {
    return this.nodes.filter((n) => n.alive && !n.paused);
  }

  /** Sum of the parts of a zone's seats in use. */
  seatsInUse(zone = "z"): number {
    return this.running().filter((n) => n.zone === zone)
      .flatMap((n) => n.seats.held(n.clock.now()))
      .reduce((sum, s) => sum + s.part, 0);
  }

  /** Sum of the parts held by one instance. */
  heldBy(node: FleetNode): number {
    return node.seats.held(node.clock.now()).reduce((n, s) => n + s.part, 0);
  }

  /** Seats whose use, with requests still running, adds up to more than 1. */
  overcommittedSeats(): string[] {
    const sums = new Map<string, number>();
    for (const node of this.nodes) {
      for (const [index, parts] of node.usage) {
        const name = `${node.zone}/${index}`;
        const sum = (sums.get(name) ?? 0) + Math.max(0, ...parts);
        sums.set(name, sum);
      }
    }
    return [...sums].filter(([, sum]) => sum > 1 + 1e-9)
      .map(([name, sum]) => `${name}: ${sum}`);
  }

  /** Requests run for one deadline, even if their instance dies meanwhile. */
  #recordUsage(): void {
    const seats = 1 + Math.max(
      0,
      ...this.nodes.flatMap((n) => n.seats.entries().map((e) => e.index)),
    );
    for (const node of this.nodes) {
      const active = node.alive && !node.paused;
      const held = active ? node.seats.held(node.clock.now()) : [];
      for (let index = 0; index < seats; index++) {
        const part = held.find((s) => s.index === index)?.part ?? 0;
        const parts = [...node.usage.get(index) ?? [], part].slice(
          -IN_FLIGHT_STEPS,
        );
        node.usage.set(index, parts);
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
      to.seats.receive(batch, senderOf(from));
      const answer = create(BatchSchema, { sender: senderOf(to) });
      to.seats.fill(answer, from.name);
      this.#send(to, from, () => from.seats.receive(answer, senderOf(to)));
    });
  }

  #send(from: FleetNode, to: FleetNode, deliver: () => void): void {
    const { drop, repeat, delay } = this.messages;
    if (this.blockedLinks.has(`${from.name} ${to.name}`)) return;
    if (this.random.next() < drop) return;
    const copies = this.random.next() < repeat ? 2 : 1;
    for (let i = 0; i < copies; i++) {
      this.#deliver(to, deliver, this.random.below(delay + 1) * STEP_MS);
    }
  }

  /** A paused instance receives its messages when it resumes. */
  #deliver(to: FleetNode, deliver: () => void, ms: number): void {
    if (ms > 0) {
      this.clock.after(ms, () => this.#deliver(to, deliver, 0));
    } else if (to.paused) {
      to.inbox = [...to.inbox, deliver].slice(-MAX_INBOX_MESSAGES);
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
