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
import { EndpointStandIn } from "../../platform/testing/endpoint_stand_in.ts";
import { ObjectStoreServer } from "../../platform/testing/object_store_server.ts";
import {
  endpointEntry,
  planSpec,
} from "../../platform/testing/plan_objects.ts";
import { StandInCaller } from "../../platform/testing/stand_in_caller.ts";
import { SeededRandom } from "../../src/core/mod.ts";
import { type FaultName, FAULTS, strike } from "./faults.ts";
import { InstanceProcess } from "./instance_process.ts";
import { Promises, type SentAttempt, type Violation } from "./promises.ts";
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

/** An endpoint with the link before it. */
export interface SoakEndpoint {
  readonly stand: EndpointStandIn;
  readonly proxy: TcpProxy;
  disturbedAt: number;
  draining: boolean;
}

/** A client account; it holds two keys at a time. */
interface SoakAccount {
  readonly id: string;
  keys: string[];
  readonly ratePerS: number;
  readonly burst: number;
}

const ZONES = { "a1": "east", "a2": "east", "b1": "west" };
const HOST = "soak.example";
const SERVICES = ["reads", "writes"] as const;
const ENDPOINTS_A_SERVICE = 4;
const SLOTS = 8;
const WORK_MS = 40;
const GRACE_S = 4;
const CALLERS = 12;
const BETWEEN_REQUESTS_MS = 15;
const PATIENCE_MS = 2_000;
const OBJECTS = 40;
const FAULT_EVERY_MS = 900;
/** At the end all is mended; then most requests are to be served again. */
const MEND_MS = 6_000;
const LAST_MS = 2_000;
const LEAST_SERVED = 0.8;
const START_LIMIT_MS = 15_000;

/** The world of one run. */
export class ProcessSoak {
  readonly random: SeededRandom;
  readonly instances: InstanceProcess[] = [];
  readonly storeLinks: TcpProxy[] = [];
  readonly endpoints: SoakEndpoint[] = [];
  readonly trace: string[] = [];
  readonly promises: Promises;
  store!: ObjectStoreServer;
  storeDisturbedAt = 0;
  readonly #opts: ProcessSoakOptions;
  readonly #began = Date.now();
  readonly #accounts: SoakAccount[] = [
    { id: "large", keys: ["l0", "l1"], ratePerS: 2_000, burst: 2_000 },
    { id: "small", keys: ["s0", "s1"], ratePerS: 20, burst: 20 },
  ];
  readonly #callers: Promise<void>[] = [];
  #dir = "";
  #version = 1;
  #requests = 0;
  #endpointNumber = 0;
  #ended = false;
  #served = { of: 0, well: 0 };

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

  /** Puts a new version of the plan in the store. */
  publish(): void {
    const version = this.#version;
    const routes = [{ prefix: "/reads/", service: "reads", idempotent: true }, {
      prefix: "/writes/",
      service: "writes",
      idempotent: false,
    }];
    for (let since = 2; since <= version; since++) {
      const prefix = `/since${since}/`;
      routes.push({ prefix, service: "reads", idempotent: true });
    }
    const spec = planSpec({
      version,
      host: HOST,
      routes: routes.map((r) => ({ ...r, timeoutS: 1.5 })),
      services: SERVICES,
      accounts: this.#accounts,
    });
    this.store.write(KINDS.plan, "main", spec);
    this.promises.planAcknowledged(version);
  }

  /** A new version adds a route. */
  newPlan(): string {
    this.#version++;
    this.publish();
    return `version ${this.#version}`;
  }

  /** A new version withdraws an account's older key. */
  withdrawKey(): string {
    const account = this.pick(this.#accounts) ?? this.#accounts[0]!;
    const [old = "", kept = ""] = account.keys;
    account.keys = [kept, `${account.id}${this.#version}`];
    this.#version++;
    this.publish();
    this.promises.keyWithdrawn(old);
    return old;
  }

  /** Starts an endpoint; on a port that another had, if one is given. */
  async addEndpoint(service: string, port = 0): Promise<SoakEndpoint> {
    const zone = this.pick(Object.keys(ZONES)) ?? "a1";
    const stand = await EndpointStandIn.listen({
      id: `e${++this.#endpointNumber}`,
      service,
      zone,
      slots: SLOTS,
      workMs: WORK_MS,
      random: () => this.random.next(),
      onRun: (run) => this.promises.ran(run),
    }, port);
    const proxy = await TcpProxy.listen(stand.port);
    const endpoint = { stand, proxy, disturbedAt: 0, draining: false };
    this.endpoints.push(endpoint);
    this.register(endpoint);
    return endpoint;
  }

  /** Writes an endpoint's entry as it now is. */
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
    const { perZone, program, seed } = this.#opts;
    this.#dir = await mkdtemp(join(tmpdir(), "magnoliahook-soak-"));
    this.store = await ObjectStoreServer.listen();
    for (const { id, ratePerS, burst } of this.#accounts) {
      this.promises.limit(id, ratePerS, burst);
    }
    for (const service of SERVICES) {
      for (let i = 0; i < ENDPOINTS_A_SERVICE; i++) {
        await this.addEndpoint(service);
      }
    }
    this.publish();
    const storePort = Number(this.store.address.split(":")[1]);
    for (const [zone, region] of Object.entries(ZONES)) {
      for (let i = 0; i < perZone; i++) {
        const link = await TcpProxy.listen(storePort);
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
    await this.#allReady();
    for (let i = 0; i < CALLERS; i++) this.#callers.push(this.#call(i));
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
    this.#served = { of: 0, well: 0 };
    await sleep(LAST_MS);
    const { of, well } = this.#served;
    if (well < of * LEAST_SERVED || of === 0) {
      this.promises.violations.push({
        atMs: Date.now() - this.#began,
        property: "once all is mended requests are served",
        detail: `${well} of ${of}`,
        request: "",
      });
    }
    this.#ended = true;
    await Promise.all(this.#callers);
    return faults;
  }

  /** Calls without a break, over a connection that is kept while it lasts. */
  async #call(number: number): Promise<void> {
    let instance = this.pick(this.instances)!;
    let { life } = instance;
    let caller = new StandInCaller(instance.callerAddress);
    while (!this.#ended) {
      const attempt = this.#attempt(number, instance);
      this.promises.sent(attempt);
      const result = await caller.send(attempt);
      this.promises.answered(attempt, result);
      this.#requests++;
      this.#served.of++;
      const fair = result.kind === "not-run" && result.status === 429;
      if (result.kind === "answer" || fair) this.#served.well++;
      const broken = result.kind === "broken" || result.kind === "late" ||
        instance.life !== life;
      if (broken || this.random.next() < 0.05) {
        await caller.close();
        instance = this.pick(this.instances)!;
        ({ life } = instance);
        caller = new StandInCaller(instance.callerAddress);
      }
      await sleep(BETWEEN_REQUESTS_MS);
    }
    await caller.close();
  }

  #attempt(number: number, instance: InstanceProcess): SentAttempt {
    const account = this.random.next() < 0.5
      ? this.#accounts[0]!
      : this.#accounts[1]!;
    const newest = this.#version > 1 && this.random.next() < 0.15;
    const idempotent = newest || this.random.next() < 0.5;
    const prefix = newest
      ? `/since${this.#version}/`
      : idempotent
      ? "/reads/"
      : "/writes/";
    return {
      request: `q${number}-${this.#requests}-${this.random.hex(4)}`,
      host: HOST,
      path: `${prefix}x`,
      key: this.pick(account.keys) ?? "",
      object: String(this.random.below(OBJECTS)),
      idempotent,
      patienceMs: PATIENCE_MS,
      account: account.id,
      instance: instance.opts.id,
      life: instance.life,
      sentAt: Date.now(),
      since: newest ? this.#version : 1,
    };
  }

  async #result(faults: number): Promise<ProcessSoakResult> {
    const { seed, seconds } = this.#opts;
    const { violations } = this.promises;
    return {
      seed,
      seconds,
      processes: this.instances.length,
      requests: this.#requests,
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
    this.#ended = true;
    await Promise.allSettled(this.#callers);
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
