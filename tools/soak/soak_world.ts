/**
 * The soak's world: real instances over fakes at every interface, one clock,
 * and operators and callers that never rest.
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

/** One instance of the soak. */
export interface SoakNode extends NetworkNode {
  readonly zone: string;
  readonly platform: FaultyPlatform;
  instance: Instance | undefined;
  stopping: boolean;
  /** Requests given to it that have not ended. */
  open: number;
}

export const STEP_MS = 50;
const TURNS = 12;
const HOLD_MS = 20_000;

/** Everything that runs in one soak. */
export class SoakWorld {
  readonly clock: ManualClock = new ManualClock();
  readonly random: SeededRandom;
  readonly store: MemoryPlatform = new MemoryPlatform(this.clock);
  readonly editor: DocumentStore;
  readonly network: SoakNetwork;
  readonly endpoints: SoakEndpoints;
  readonly nodes: SoakNode[] = [];
  /** Sections as the operators last wrote them. */
  readonly sections = documentSections();
  readonly #parts: ComponentOverrides;
  #born = 0;

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

  /** Publishes the document and starts two instances a zone. */
  async open(): Promise<void> {
    await this.publish(...Object.keys(this.sections));
    for (const { zone, region } of ZONES) {
      this.start(zone, region);
      this.start(zone, region);
    }
  }

  /** Accepts the named sections as they now stand; gives the generation. */
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
    const name = `${zone}-${++this.#born}`;
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

  /** Ends a process without a word. */
  kill(node: SoakNode): void {
    node.clock.end();
    this.#remove(node);
  }

  /** Stops an instance in good order. */
  async stop(node: SoakNode): Promise<void> {
    node.stopping = true;
    await node.instance?.stop();
    this.#remove(node);
  }

  /** Instances that run, are not paused and have started. */
  running(): SoakNode[] {
    return this.nodes.filter((n) =>
      n.instance !== undefined && !n.clock.paused && !n.clock.ended
    );
  }

  /** Lets one step of time pass. */
  async step(): Promise<void> {
    this.clock.advance(STEP_MS);
    for (let i = 0; i < TURNS; i++) await setImmediate();
  }

  /** Ends all that runs. */
  async close(): Promise<void> {
    for (const node of this.nodes) node.clock.end();
    await this.store.close();
  }

  /** Told of each log event of every instance. */
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

/** An hour's hold would leave a zone whose instances all died dark to the end. */
class ShortHoldSeats extends LeasedSeats {
  constructor(deps: LeasedSeatsDeps) {
    super({ ...deps, timing: { ...DEFAULT_SEAT_TIMING, holdMs: HOLD_MS } });
  }
}

/** Listeners without sockets: the node's name is its address. */
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

  /** Callers were told; what they sent has to end. */
  async drain(): Promise<void> {
    while (this.#node.open > 0) await sleep(this.#node.clock, STEP_MS);
  }

  close(): Promise<void> {
    this.#node.handlers = undefined;
    return Promise.resolve();
  }
}

/** Hands events on instead of writing them. */
class EventLog implements Log {
  readonly #take: (name: string, fields: LogFields) => void;

  constructor(take: (name: string, fields: LogFields) => void) {
    this.#take = take;
  }

  event(name: string, fields: LogFields = {}): void {
    this.#take(name, fields);
  }

  child(): Log {
    return this;
  }
}
