/**
 * A run of the real program as several processes on loopback, with a store and
 * endpoints of this repository, callers that never rest, and faults from
 * outside: signals, links and what the store and the endpoints do.
 *
 * @module
 */
import { mkdtemp, readFile, rm } from "node:fs/promises";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { setTimeout as sleep } from "node:timers/promises";
import { KINDS } from "../../platform/names.ts";
import { FakeEndpoint } from "../../platform/testing/fake_endpoint.ts";
import { ObjectStoreServer } from "../../platform/testing/object_store_server.ts";
import { endpointEntry } from "../../platform/testing/plan_objects.ts";
import { SeededRandom } from "../../src/core/mod.ts";
import { type FaultName, FAULTS, strike } from "./faults.ts";
import { InstanceProcess } from "./instance_process.ts";
import { Promises, type Violation } from "./promises.ts";
import { SoakCallers } from "./soak_callers.ts";
import { SERVICES, SoakOperators } from "./soak_operators.ts";
import type { SoakEndpoint, StruckWorld } from "./struck_world.ts";
import { TcpProxy } from "./tcp_proxy.ts";

/** What a run does. */
export interface ProcessSoakOptions {
  readonly seed: number;
  readonly seconds: number;
  /** Instances in each of the three zones. */
  readonly perZone: number;
  /** The program that instances run. */
  readonly program: string;
  /** Only these faults; all if undefined. */
  readonly only?: readonly FaultName[];
}

/** What came of it. */
export interface ProcessSoakResult {
  readonly seed: number;
  readonly seconds: number;
  readonly processes: number;
  readonly requests: number;
  readonly faults: number;
  readonly violations: readonly Violation[];
  /** What was done, in order. */
  readonly trace: readonly string[];
  /** Lines of all logs on the first violation's request. */
  readonly lines: readonly string[];
}

const ZONES = { "a1": "east", "a2": "east", "b1": "west" };
const ENDPOINTS_A_SERVICE = 4;
const SLOTS = 8;
const WORK_MS = 40;
const GRACE_S = 4;
const FAULT_EVERY_MS = 900;
/** At the end all is mended; then most requests are to be served again. */
const MEND_MS = 6_000;
const LAST_MS = 2_000;
const LEAST_SERVED = 0.8;
const START_LIMIT_MS = 15_000;

/** The world of one run. */
export class ProcessSoak implements StruckWorld {
  readonly random: SeededRandom;
  readonly instances: InstanceProcess[] = [];
  readonly storeLinks: TcpProxy[] = [];
  readonly endpoints: SoakEndpoint[] = [];
  readonly trace: string[] = [];
  readonly promises: Promises;
  store!: ObjectStoreServer;
  operators!: SoakOperators;
  storeDisturbedAt = 0;
  readonly #opts: ProcessSoakOptions;
  readonly #began = Date.now();
  #callers: SoakCallers | undefined;
  #dir = "";
  #endpointNumber = 0;

  constructor(opts: ProcessSoakOptions) {
    this.#opts = opts;
    this.random = new SeededRandom(opts.seed);
    this.promises = new Promises({
      instance: (id) =>
        this.instances.find((i) => i.opts.id === id)?.disturbedAt ?? 0,
      store: () => this.storeDisturbedAt,
      endpoint: (id) =>
        this.endpoints.find((e) => e.stand.opts.id === id)?.disturbedAt ??
          Infinity,
      stopping: (id, life) => {
        const instance = this.instances.find((i) => i.opts.id === id);
        return instance?.life === life && instance.stoppingSince !== undefined;
      },
    });
  }

  /** Plays the run and ends all that it started. */
  async run(): Promise<ProcessSoakResult> {
    try {
      await this.#open();
      const faults = await this.#play();
      return await this.#result(faults);
    } finally {
      await this.#close();
    }
  }

  pick<T>(from: readonly T[]): T | undefined {
    return from[this.random.below(Math.max(1, from.length))];
  }

  async addEndpoint(service: string, port = 0): Promise<SoakEndpoint> {
    const zone = this.pick(Object.keys(ZONES)) ?? "a1";
    const id = `e${++this.#endpointNumber}`;
    const stand = await FakeEndpoint.listen({
      id,
      service,
      zone,
      slots: SLOTS,
      workMs: WORK_MS,
      random: () => this.random.next(),
      onRun: (run) => this.promises.ran(run),
      onArrival: (request) => this.promises.arrived(id, request),
    }, port);
    const proxy = await TcpProxy.listen(stand.port);
    const endpoint = { stand, proxy, disturbedAt: 0, draining: false };
    this.endpoints.push(endpoint);
    this.register(endpoint);
    return endpoint;
  }

  register({ stand, proxy, draining }: SoakEndpoint): void {
    const { id, service, zone, slots } = stand.opts;
    const { spec, status } = endpointEntry({
      service,
      address: `127.0.0.1:${proxy.port}`,
      zone,
      slots,
      draining,
      bornAt: this.#began,
    });
    this.store.write(KINDS.endpoints, id, spec, status);
    if (draining) this.promises.drainAcknowledged(id);
  }

  async #open(): Promise<void> {
    this.#dir = await mkdtemp(join(tmpdir(), "magnoliahook-soak-"));
    this.store = await ObjectStoreServer.listen();
    this.operators = new SoakOperators(this);
    for (const service of SERVICES) {
      for (let i = 0; i < ENDPOINTS_A_SERVICE; i++) {
        await this.addEndpoint(service);
      }
    }
    this.operators.publish();
    await this.#startInstances();
    await this.#allReady();
    this.#callers = new SoakCallers(this);
    this.#callers.start();
  }

  async #startInstances(): Promise<void> {
    const { perZone, program, seed } = this.#opts;
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
          host: `127.${64 + seed % 128}.${Math.floor(n / 200)}.${n % 200 + 1}`,
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

  async #allReady(): Promise<void> {
    const until = Date.now() + START_LIMIT_MS;
    while (Date.now() < until) {
      const ready = await Promise.all(this.instances.map((i) => i.ready()));
      if (ready.every((r) => r)) return;
      await sleep(100);
    }
    throw new Error(`not all instances are ready after ${START_LIMIT_MS} ms`);
  }

  async #play(): Promise<number> {
    const { seconds, only = FAULTS } = this.#opts;
    const until = Date.now() + seconds * 1_000 - MEND_MS - LAST_MS;
    let faults = 0;
    while (Date.now() < until) {
      await sleep(FAULT_EVERY_MS * (0.3 + this.random.next()));
      const name = this.pick(only);
      if (name === undefined) continue;
      const what = await strike(this, name);
      faults++;
      const atMs = Date.now() - this.#began;
      this.trace.push(`${atMs} ms: ${name}, ${what}`);
    }
    await sleep(MEND_MS);
    await this.#checkServed();
    return faults;
  }

  /** Once all is mended most requests are to be served again. */
  async #checkServed(): Promise<void> {
    const served = await this.#callers?.servedIn(LAST_MS);
    const { of, well } = served ?? { of: 0, well: 0 };
    if (of > 0 && well >= of * LEAST_SERVED) return;
    this.promises.violations.push({
      atMs: Date.now() - this.#began,
      property: "once all is mended requests are served",
      detail: `${well} of ${of}`,
      request: "",
    });
  }

  async #result(faults: number): Promise<ProcessSoakResult> {
    await this.#callers?.end();
    const { seed, seconds } = this.#opts;
    const { violations } = this.promises;
    return {
      seed,
      seconds,
      processes: this.instances.length,
      requests: this.#callers?.requests ?? 0,
      faults,
      violations,
      trace: this.trace,
      lines: await this.#linesOf(violations[0]?.request ?? ""),
    };
  }

  async #linesOf(request: string): Promise<string[]> {
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
    await Promise.all(this.instances.map((i) => i.close()));
    await Promise.all(this.storeLinks.map((link) => link.close()));
    for (const { stand, proxy } of this.endpoints) {
      await proxy.close();
      await stand.close();
    }
    await this.store?.close();
    await rm(this.#dir, { recursive: true, force: true });
  }
}
