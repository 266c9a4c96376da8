/**
 * The simulated fleet of the soak: real instances over fakes at every
 * interface, driven by one manual clock.
 *
 * @module
 */
import { setImmediate } from "node:timers/promises";
import { ok } from "neverthrow";
import {
  type Log,
  type LogFields,
  ManualClock,
  MemoryMetrics,
  SeededRandom,
  sleep,
} from "../../src/core/mod.ts";
import { DocumentStore, type SectionName } from "../../src/document/mod.ts";
import {
  type ComponentOverrides,
  Instance,
  type InstanceHandlers,
  type InstanceListeners,
} from "../../src/instance/mod.ts";
import { FaultyPlatform } from "../../src/membership/testing/faulty_platform.ts";
import {
  DEFAULT_SEAT_TIMING,
  LeasedSeats,
  type LeasedSeatsDeps,
} from "../../src/membership/mod.ts";
import { MemoryPlatform } from "../../src/store/mod.ts";
import { parseSettings } from "../../src/settings/mod.ts";
import { documentSections, ZONES } from "./soak_document.ts";
import { SoakClock } from "./soak_clock.ts";
import { SoakEndpoints } from "./soak_endpoints.ts";
import { type NetworkNode, SoakNetwork } from "./soak_network.ts";

/** One instance of the simulated fleet. */
export interface SoakNode extends NetworkNode {
  readonly zone: string;
  readonly platform: FaultyPlatform;
  instance: Instance | undefined;
  stopping: boolean;
  /** Requests in flight at this instance. */
  open: number;
}

export const STEP_MS = 50;
const EVENT_LOOP_TURNS = 12;
const SEAT_HOLD_MS = 20_000;

/** Fleet, network, endpoints and store of one run. */
export class SoakWorld {
  readonly clock: ManualClock = new ManualClock();
  readonly random: SeededRandom;
  readonly store: MemoryPlatform = new MemoryPlatform(this.clock);
  readonly editor: DocumentStore;
  readonly network: SoakNetwork;
  readonly endpoints: SoakEndpoints;
  readonly nodes: SoakNode[] = [];
  /** Document sections as last written by the operators. */
  readonly sections = documentSections();
  readonly #parts: ComponentOverrides;
  #instancesStarted = 0;

  constructor(seed: number, parts: ComponentOverrides = {}) {
    this.random = new SeededRandom(seed);
    this.network = new SoakNetwork(this.clock, this.random);
    this.endpoints = new SoakEndpoints(this.clock, this.random, this.network);
    this.editor = new DocumentStore({
      platform: this.store,
      clock: this.clock,
      random: this.random,
    });
    this.#parts = { seats: ShortHoldSeats, ...parts };
  }

  /** Publishes the document and starts two instances per zone. */
  async open(): Promise<void> {
    await this.publish(...Object.keys(this.sections));
    for (const { zone, region } of ZONES) {
      this.start(zone, region);
      this.start(zone, region);
    }
  }

  /** Applies the named sections; returns the generation unless it failed. */
  async publish(...names: string[]): Promise<number | undefined> {
    const sections = names.map((n) =>
      [n as SectionName, structuredClone(this.sections[n])] as const
    );
    const done = await this.editor.apply({
      author: "operator",
      sections: new Map(sections),
    });
    return done.isOk() ? done.value.manifest.generation : undefined;
  }

  /** Starts an instance in a zone. */
  start(zone: string, region: string): SoakNode {
    const name = `${zone}-${++this.#instancesStarted}`;
    const clock = new SoakClock(this.clock, this.random.below(1_000_000));
    const node: SoakNode = {
      name,
      zone,
      clock,
      platform: new FaultyPlatform(this.store, clock, this.random),
      handlers: undefined,
      instance: undefined,
      stopping: false,
      open: 0,
    };
    this.nodes.push(node);
    this.network.nodes.set(name, node);
    void this.#start(node, region);
    return node;
  }

  /** Kills a process without a graceful stop. */
  kill(node: SoakNode): void {
    node.clock.end();
    this.#remove(node);
  }

  /** Stops an instance gracefully. */
  async stop(node: SoakNode): Promise<void> {
    node.stopping = true;
    await node.instance?.stop();
    this.#remove(node);
  }

  /** Instances that have started and are neither paused nor killed. */
  running(): SoakNode[] {
    return this.nodes.filter((n) =>
      n.instance !== undefined && !n.clock.paused && !n.clock.ended
    );
  }

  /** Advances the clock by one step and lets pending work run. */
  async step(): Promise<void> {
    this.clock.advance(STEP_MS);
    for (let i = 0; i < EVENT_LOOP_TURNS; i++) await setImmediate();
  }

  /** Ends all processes and closes the store. */
  async close(): Promise<void> {
    for (const node of this.nodes) node.clock.end();
    await this.store.close();
  }

  /** Called for each log event of any instance. */
  onEvent: (name: string, fields: LogFields) => void = () => {};

  async #start(node: SoakNode, region: string): Promise<void> {
    const cfg = parseSettings({
      instance: { id: node.name, zone: node.zone, region },
      platform: { url: "http://127.0.0.1:1" },
    })._unsafeUnwrap();
    const started = await Instance.start({
      cfg,
      platform: node.platform,
      transport: this.network.transportOf(node),
      endpoints: this.endpoints.clientOf(node),
      clock: node.clock,
      random: this.random,
      metrics: new MemoryMetrics(),
      log: new EventLog((name, fields) => this.onEvent(name, fields)),
      listeners: new SoakListeners(node),
      parts: this.#parts,
    });
    if (started.isOk()) node.instance = started.value;
  }

  #remove(node: SoakNode): void {
    this.network.nodes.delete(node.name);
    this.nodes.splice(this.nodes.indexOf(node), 1);
    this.store.removeInstance(node.name);
  }
}

/**
 * Shortens the seat hold. With the default of an hour, a zone whose instances
 * all crashed would have no seats until the end of the run.
 */
class ShortHoldSeats extends LeasedSeats {
  constructor(deps: LeasedSeatsDeps) {
    super({
      ...deps,
      timing: { ...DEFAULT_SEAT_TIMING, holdMs: SEAT_HOLD_MS },
    });
  }
}

/** Listeners without sockets; the node's name is its address. */
class SoakListeners implements InstanceListeners {
  readonly #node: SoakNode;

  constructor(node: SoakNode) {
    this.#node = node;
  }

  get callerUrl(): string {
    return this.#node.name;
  }

  get peerUrl(): string {
    return this.#node.name;
  }

  get adminUrl(): string {
    return this.#node.name;
  }

  open(handlers: InstanceHandlers) {
    this.#node.handlers = handlers;
    return Promise.resolve(ok(undefined));
  }

  peerBytes(): number {
    return 0;
  }

  leave(): void {}

  /** Waits until all requests in flight at this instance have ended. */
  async drain(): Promise<void> {
    while (this.#node.open > 0) await sleep(this.#node.clock, STEP_MS);
  }

  close(): Promise<void> {
    this.#node.handlers = undefined;
    return Promise.resolve();
  }
}

/** Passes log events to a callback instead of writing them. */
class EventLog implements Log {
  readonly #onEvent: (name: string, fields: LogFields) => void;

  constructor(onEvent: (name: string, fields: LogFields) => void) {
    this.#onEvent = onEvent;
  }

  event(name: string, fields: LogFields = {}): void {
    this.#onEvent(name, fields);
  }

  child(): Log {
    return this;
  }
}
