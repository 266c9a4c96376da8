/**
 * Runs the real program as several processes on loopback, with a fake store,
 * fake endpoints and constant load, and injects faults from outside: signals,
 * link failures, and store and endpoint failures.
 *
 * @module
 */
import { mkdir, mkdtemp, readFile, rm } from "node:fs/promises";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { setTimeout as sleep } from "node:timers/promises";
import { KINDS } from "../../platform/names.ts";
import {
  type Arrival,
  FakeEndpoint,
  type FakeEndpointOptions,
} from "../../platform/testing/fake_endpoint.ts";
import { ObjectStoreServer } from "../../platform/testing/object_store_server.ts";
import { endpointEntry } from "../../platform/testing/plan_objects.ts";
import {
  MemoryMetrics,
  SeededRandom,
  SilentLog,
  SystemClock,
} from "../../src/core/mod.ts";
import { EventLoopLag } from "../../src/edge/mod.ts";
import type { CutSummary } from "./cut_checker.ts";
import type { ScheduledFault } from "./fault_schedule.ts";
import { EarlyLeavers } from "./early_leavers.ts";
import { type FaultName, FAULTS, injectFault } from "./faults.ts";
import type { LimitSummary } from "./limit_checker.ts";
import { InstanceProcess } from "./instance_process.ts";
import {
  type Disturbances,
  PropertyChecker,
  type Sender,
  type Violation,
} from "./property_checker.ts";
import { BulkCallers } from "./bulk_callers.ts";
import { DEFAULT_CALLERS, SoakCallers } from "./soak_callers.ts";
import { BULK_SERVICE, SERVICES, SoakOperators } from "./soak_operators.ts";
import { SteadyService } from "./steady_service.ts";
import { LoopbackBlock } from "./loopback_block.ts";
import type { FaultTargets, SoakEndpoint } from "./fault_targets.ts";
import { TcpProxy } from "./tcp_proxy.ts";
import { NoisyEndpoint, NoisyHost } from "../standins/noisy_endpoint.ts";

/** Options of a run. */
export interface ProcessSoakOptions {
  readonly seed: number;
  readonly seconds: number;
  /** Instances in each of the three zones. */
  readonly perZone: number;
  /** Concurrent callers; 12 if undefined. */
  readonly callers?: number;
  /** The program that instances run. */
  readonly program: string;
  /** Kinds of fault to inject; all if undefined. */
  readonly only?: readonly FaultName[];
  /** Faults at fixed times, replacing the random ones. */
  readonly schedule?: readonly ScheduledFault[];
  /** Callers use the addresses that instances list; else all of them. */
  readonly useDirectory?: boolean;
  /** Keeps the instances' logs in this directory. */
  readonly logDir?: string;
}

/** Result of a run. */
export interface ProcessSoakResult {
  readonly seed: number;
  readonly seconds: number;
  readonly processes: number;
  readonly requests: number;
  /** Uploads and pipelined requests that got a success. */
  readonly bulkAnswered: number;
  /** Callers that left early, and their requests that came too late. */
  readonly left: number;
  readonly late: number;
  /** What callers got during cuts from the endpoints. */
  readonly cuts: readonly CutSummary[];
  /** Fullest window of repeats, as a fraction of the retry budget. */
  readonly repeats: number;
  /** How the rate limits that endpoints announced were used. */
  readonly limits: readonly LimitSummary[];
  readonly faults: number;
  readonly violations: readonly Violation[];
  /** Injected faults, in order. */
  readonly trace: readonly string[];
  /** Lines of the instance logs with the first violation's request id. */
  readonly lines: readonly string[];
}

const ZONES = { "a1": "east", "a2": "east", "b1": "west" };
const ENDPOINTS_PER_SERVICE = 4;
const SLOTS = 8;
const WORK_MS = 40;
/** Hosts of the endpoints for uploads and pipelined requests. */
const NOISY_HOSTS = 2;
const NOISY_ENDPOINTS = 4;
/** Added to the seed, so that the new load leaves the old draws as they are. */
const BULK_SEED_OFFSET = 1_000_003;
const LEAVER_SEED_OFFSET = 2_000_003;
const STEADY_SEED_OFFSET = 3_000_003;
const GRACE_S = 4;
/** Pages of the list of all instances, where they are many. */
const PAGES_PER_LIST = 4;
const FAULT_INTERVAL_MS = 900;
/** Recovery time, then the window in which most requests must succeed. */
const RECOVERY_MS = 6_000;
const CHECK_WINDOW_MS = 2_000;
const MIN_SUCCESS_RATIO = 0.8;
const START_TIMEOUT_MS = 15_000;

/** One run, with its processes, store, endpoints and callers. */
export class ProcessSoak implements FaultTargets {
  readonly random: SeededRandom;
  readonly instances: InstanceProcess[] = [];
  readonly storeLinks: TcpProxy[] = [];
  readonly endpoints: SoakEndpoint[] = [];
  readonly trace: string[] = [];
  readonly checker: PropertyChecker;
  store!: ObjectStoreServer;
  operators!: SoakOperators;
  storeDisturbedAt = 0;
  readonly #opts: ProcessSoakOptions;
  readonly #began = Date.now();
  #callers: SoakCallers | undefined;
  #bulkCallers: BulkCallers | undefined;
  readonly #bulkRandom: SeededRandom;
  readonly #leavers: EarlyLeavers;
  readonly #steady: SteadyService;
  /** How late this process reads what endpoints and callers receive. */
  readonly #loopLag = new EventLoopLag({
    clock: new SystemClock(),
    log: new SilentLog(),
    metrics: new MemoryMetrics(),
  });
  readonly #noisyHosts: NoisyHost[] = [];
  readonly #noisyEndpoints: NoisyEndpoint[] = [];
  readonly #noisyLinks: TcpProxy[] = [];
  #block: LoopbackBlock | undefined;
  #dir = "";
  #endpointNumber = 0;

  constructor(opts: ProcessSoakOptions) {
    this.#opts = opts;
    this.random = new SeededRandom(opts.seed);
    this.#bulkRandom = new SeededRandom(opts.seed + BULK_SEED_OFFSET);
    const disturbances: Disturbances = {
      instances: () => this.instances.map((i) => i.opts.id),
      instance: (id) =>
        this.instances.find((i) => i.opts.id === id)?.disturbedAt ?? 0,
      freeze: (id) =>
        this.instances.find((i) => i.opts.id === id)?.frozenAt ?? -Infinity,
      store: () => this.storeDisturbedAt,
      endpoint: (id) =>
        this.endpoints.find((e) => e.fake.opts.id === id)?.disturbedAt ??
          (this.#noisyEndpoints.some((e) => e.opts.id === id) ? 0 : Infinity),
      cutUntil: (id) =>
        this.instances.find((i) => i.opts.id === id)?.cutUntil ?? -Infinity,
      stopping: (id, life) =>
        this.instances.find((i) => i.opts.id === id)?.stopsGracefully(life) ??
          false,
    };
    this.checker = new PropertyChecker(disturbances);
    this.#leavers = new EarlyLeavers({
      instances: this.instances,
      operators: () => this.operators,
      checker: this.checker,
      disturbances,
      random: new SeededRandom(opts.seed + LEAVER_SEED_OFFSET),
      lagMs: () => this.#loopLag.ms,
    });
    this.#steady = new SteadyService({
      instances: this.instances,
      operators: () => this.operators,
      checker: this.checker,
      random: new SeededRandom(opts.seed + STEADY_SEED_OFFSET),
      register: ({ opts: endpoint }, link) => this.#list(endpoint, link),
    });
  }

  /** Executes the run and shuts down everything that it started. */
  async run(): Promise<ProcessSoakResult> {
    try {
      await this.#open();
      await this.#injectFaults();
      return await this.#result();
    } finally {
      await this.#close();
    }
  }

  get endpointLinks(): TcpProxy[] {
    const { links } = this.#steady;
    const proxies = this.endpoints.map((e) => e.proxy);
    return [...proxies, ...this.#noisyLinks, ...links];
  }

  pick<T>(from: readonly T[]): T | undefined {
    return from[this.random.below(Math.max(1, from.length))];
  }

  async addEndpoint(service: string, port = 0): Promise<SoakEndpoint> {
    const zone = this.pick(Object.keys(ZONES)) ?? "a1";
    const id = `e${++this.#endpointNumber}`;
    const fake = await FakeEndpoint.listen({
      id,
      service,
      zone,
      slots: SLOTS,
      workMs: WORK_MS,
      random: () => this.random.next(),
      onRun: (run) => this.checker.requestStarted(run),
      onArrival: (arrival) => {
        this.checker.requestArrived(id, arrival.request, senderOf(arrival));
        this.#leavers.arrived(id, arrival.request);
      },
      onBackoff: (arrival, retryAfterS) =>
        this.checker.backoffRequested(id, arrival.request, {
          sender: senderOf(arrival),
          retryAfterS,
        }),
    }, port);
    const proxy = await TcpProxy.listen(fake.port);
    for (const { opts, cutUntil, cutMode } of this.instances) {
      if (cutUntil > Date.now()) proxy.cutOff(opts.host, cutMode);
    }
    const senderOf = ({ remotePort }: Arrival): Sender | undefined => {
      const address = proxy.clientAddress(remotePort);
      const from = this.instances.find((i) => i.opts.host === address);
      return from && { instance: from.opts.id, life: from.life };
    };
    const endpoint = { fake, proxy, disturbedAt: 0, draining: false };
    this.endpoints.push(endpoint);
    this.register(endpoint);
    return endpoint;
  }

  register({ fake, proxy, draining }: SoakEndpoint): void {
    const { id, service, zone, slots } = fake.opts;
    const { spec, status } = endpointEntry({
      service,
      address: `127.0.0.1:${proxy.port}`,
      zone,
      slots,
      draining,
      bornAt: this.#began,
    });
    this.store.write(KINDS.endpoints, id, spec, status);
    if (draining) this.checker.drainAcknowledged(id);
  }

  async #open(): Promise<void> {
    const { logDir, seed } = this.#opts;
    const taken = await LoopbackBlock.take(seed);
    if (taken.isErr()) throw new Error(taken.error);
    const block = this.#block = taken.value;
    if (logDir !== undefined) await mkdir(logDir, { recursive: true });
    this.#dir = logDir ?? await mkdtemp(join(tmpdir(), "magnoliahook-soak-"));
    this.store = await ObjectStoreServer.listen(this.#pageSize);
    this.operators = new SoakOperators(this);
    for (const service of SERVICES) {
      for (let i = 0; i < ENDPOINTS_PER_SERVICE; i++) {
        await this.addEndpoint(service);
      }
    }
    await this.#addNoisyEndpoints();
    await this.#steady.open();
    this.operators.publish();
    await this.#startInstances(block);
    await this.#waitUntilReady();
    this.#callers = new SoakCallers({
      instances: this.instances,
      operators: this.operators,
      checker: this.checker,
      random: this.random,
      callers: this.#opts.callers ?? DEFAULT_CALLERS,
      useDirectory: this.#opts.useDirectory ?? false,
    });
    this.#callers.start();
    this.#bulkCallers = new BulkCallers({
      instances: this.instances,
      operators: this.operators,
      checker: this.checker,
      random: this.#bulkRandom,
    });
    this.#bulkCallers.start();
    this.#leavers.start();
    this.#steady.start();
  }

  /**
   * Objects on a page of the store's lists. A list has a few pages, as in the
   * platform's store, whose pages hold some hundred objects.
   */
  get #pageSize(): number {
    const instances = this.#opts.perZone * Object.keys(ZONES).length;
    return Math.max(2, Math.ceil(instances / PAGES_PER_LIST));
  }

  async #addNoisyEndpoints(): Promise<void> {
    for (let i = 0; i < NOISY_HOSTS; i++) {
      this.#noisyHosts.push(new NoisyHost(this.#bulkRandom));
    }
    for (let i = 0; i < NOISY_ENDPOINTS; i++) {
      const id = `noisy${i}`;
      const endpoint = await NoisyEndpoint.listen({
        id,
        service: BULK_SERVICE,
        slots: SLOTS,
        workMs: WORK_MS,
        host: this.#noisyHosts[i % NOISY_HOSTS]!,
        onRun: (run) => this.checker.requestStarted(run),
      });
      this.#noisyEndpoints.push(endpoint);
      const link = await TcpProxy.listen(endpoint.port);
      this.#noisyLinks.push(link);
      const zones = Object.keys(ZONES);
      const zone = zones[i % zones.length]!;
      this.#list({ id, service: BULK_SERVICE, zone, slots: SLOTS }, link);
    }
  }

  /** Writes the entry of an endpoint that is not replaced during the run. */
  #list(
    { id, service, zone, slots }: Pick<
      FakeEndpointOptions,
      "id" | "service" | "zone" | "slots"
    >,
    link: TcpProxy,
  ): void {
    const { spec, status } = endpointEntry({
      service,
      address: `127.0.0.1:${link.port}`,
      zone,
      slots,
      draining: false,
      bornAt: this.#began,
    });
    this.store.write(KINDS.endpoints, id, spec, status);
  }

  async #startInstances(block: LoopbackBlock): Promise<void> {
    const { perZone, program } = this.#opts;
    for (const [zone, region] of Object.entries(ZONES)) {
      for (let i = 0; i < perZone; i++) {
        const link = await TcpProxy.listen(this.store.port);
        this.storeLinks.push(link);
        const n = this.instances.length + 1;
        const instance = new InstanceProcess({
          id: `${zone}-${i}`,
          zone,
          region,
          zones: ZONES,
          host: block.host(n),
          storePort: link.port,
          program,
          dir: this.#dir,
          graceS: GRACE_S,
        });
        this.instances.push(instance);
        instance.start();
      }
    }
  }

  async #waitUntilReady(): Promise<void> {
    const until = Date.now() + START_TIMEOUT_MS;
    while (Date.now() < until) {
      const ready = await Promise.all(this.instances.map((i) => i.ready()));
      if (ready.every((r) => r)) return;
      await sleep(100);
    }
    throw new Error(`not all instances are ready after ${START_TIMEOUT_MS} ms`);
  }

  async #injectFaults(): Promise<void> {
    const { schedule } = this.#opts;
    if (schedule === undefined) await this.#injectRandomFaults();
    else await this.#injectScheduledFaults(schedule);
    await sleep(RECOVERY_MS);
    await this.#checkRecovery();
  }

  async #injectRandomFaults(): Promise<void> {
    const { seconds, only = FAULTS } = this.#opts;
    const until = Date.now() + seconds * 1_000 - RECOVERY_MS - CHECK_WINDOW_MS;
    while (Date.now() < until) {
      await sleep(FAULT_INTERVAL_MS * (0.3 + this.random.next()));
      const name = this.pick(only);
      if (name !== undefined) await this.#inject(name);
    }
  }

  async #injectScheduledFaults(
    schedule: readonly ScheduledFault[],
  ): Promise<void> {
    const began = Date.now();
    for (const { name, atMs } of schedule) {
      await sleep(Math.max(0, began + atMs - Date.now()));
      await this.#inject(name);
    }
  }

  async #inject(name: FaultName): Promise<void> {
    const target = await injectFault(this, name);
    const atMs = Date.now() - this.#began;
    const { revision } = this.store;
    this.trace.push(
      `${atMs} ms: ${name}, ${target}; the store is at revision ${revision}`,
    );
  }

  /** Checks that most requests succeed after recovery. */
  async #checkRecovery(): Promise<void> {
    const served = await this.#callers?.measure(CHECK_WINDOW_MS);
    const { total, succeeded } = served ?? { total: 0, succeeded: 0 };
    if (total > 0 && succeeded >= total * MIN_SUCCESS_RATIO) return;
    this.checker.violations.push({
      atMs: Date.now() - this.#began,
      property: "once all is mended requests are served",
      detail: `${succeeded} of ${total}`,
      request: "",
    });
  }

  async #result(): Promise<ProcessSoakResult> {
    await this.#callers?.end();
    await this.#bulkCallers?.end();
    await this.#leavers.end();
    await this.#steady.end();
    this.checker.finish();
    const { seed, seconds } = this.#opts;
    const { violations } = this.checker;
    return {
      seed,
      seconds,
      processes: this.instances.length,
      requests: this.#callers?.requests ?? 0,
      bulkAnswered: this.#bulkCallers?.answered ?? 0,
      left: this.#leavers.left,
      late: this.#leavers.late,
      cuts: this.checker.cutSummaries(),
      repeats: this.#steady.fullestWindow,
      limits: this.checker.limitSummaries(),
      faults: this.trace.length,
      violations,
      trace: this.trace,
      lines: await this.#logLinesOf(violations[0]?.request ?? ""),
    };
  }

  async #logLinesOf(request: string): Promise<string[]> {
    if (request === "") return [];
    const lines: string[] = [];
    for (const { opts, logFile } of this.instances) {
      const text = await readFile(logFile, "utf8");
      const found = text.split("\n").filter((line) => line.includes(request));
      lines.push(...found.map((line) => `${opts.id}: ${line}`));
    }
    return lines;
  }

  async #close(): Promise<void> {
    await this.#callers?.end();
    await this.#bulkCallers?.end();
    await this.#leavers.end();
    await this.#steady.end();
    await Promise.all(this.instances.map((i) => i.close()));
    await Promise.all(this.storeLinks.map((link) => link.close()));
    for (const { fake, proxy } of this.endpoints) {
      await proxy.close();
      await fake.close();
    }
    for (const host of this.#noisyHosts) host.close();
    await this.#steady.close();
    await Promise.all(this.#noisyLinks.map((link) => link.close()));
    await Promise.all(this.#noisyEndpoints.map((e) => e.close()));
    this.#loopLag.close();
    await this.store?.close();
    await this.#block?.close();
    if (this.#opts.logDir !== undefined) return;
    await rm(this.#dir, { recursive: true, force: true });
  }
}
