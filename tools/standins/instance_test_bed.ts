/**
 * A test bed for one instance process: object store, endpoints and load
 * generator on loopback.
 *
 * @module
 */
import { mkdtemp, rm } from "node:fs/promises";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { setTimeout as sleep } from "node:timers/promises";
import process from "node:process";
import { HEADERS } from "../../platform/names.ts";
import { FakeEndpoint } from "../../platform/testing/fake_endpoint.ts";
import { ObjectStoreServer } from "../../platform/testing/object_store_server.ts";
import {
  endpointEntry,
  type PlanLimits,
  planSpec,
} from "../../platform/testing/plan_objects.ts";
import { FakeCaller } from "../../platform/testing/fake_caller.ts";
import { InstanceProcess } from "../process_soak/instance_process.ts";

/** Loopback address by process id, so that parallel runs do not clash. */
const HOST = `127.9.${(process.pid >> 8) & 0xff}.${process.pid & 0xff}`;
const CALLER_HOST = "shop.example";
const ZONE = "zone-1";
const ENDPOINTS = 40;
const ACCOUNTS = 80;
const OBJECTS = 200;
const CALLERS = 64;
const WORK_MS = 20;
const CLIENT_TIMEOUT_MS = 4_000;
/** Objects per page of the store's list responses. */
const LIST_PAGE = 50;
const MS_PER_S = 1_000;
const LIMITS: PlanLimits = {
  headerBytes: 16_384,
  bodyBytes: 67_108_864,
  headerTimeoutS: 3,
  idleTimeoutS: 15,
};

/** The program that an instance process runs. */
export interface InstanceProgram {
  readonly program: string;
  /** Node.js flags, placed before the program. */
  readonly nodeFlags: readonly string[];
}

/** Options of a test bed. */
export interface TestBedOptions {
  /** Memory limit in the settings of its instances, in MB. */
  readonly memoryMb?: number;
  /** How long an endpoint takes for a request, in milliseconds. */
  readonly workMs?: number;
  /** Called with the id of each request that reaches an endpoint. */
  readonly onArrival?: (request: string) => void;
}

/** Store, endpoints and callers in this process; instances are children. */
export class InstanceTestBed {
  readonly #store: ObjectStoreServer;
  readonly #endpoints: readonly FakeEndpoint[];
  readonly #dir: string;
  readonly #opts: TestBedOptions;
  #sent = 0;

  private constructor(
    store: ObjectStoreServer,
    endpoints: readonly FakeEndpoint[],
    dir: string,
    opts: TestBedOptions,
  ) {
    this.#store = store;
    this.#endpoints = endpoints;
    this.#dir = dir;
    this.#opts = opts;
  }

  static async open(opts: TestBedOptions = {}): Promise<InstanceTestBed> {
    const store = await ObjectStoreServer.listen(LIST_PAGE);
    const endpoints: FakeEndpoint[] = [];
    for (let i = 0; i < ENDPOINTS; i++) {
      const id = `e-${i}`;
      const endpoint = await FakeEndpoint.listen({
        id,
        service: "web",
        zone: ZONE,
        slots: 9,
        workMs: opts.workMs ?? WORK_MS,
        random: () => 0.5,
        onRun: () => {},
        onArrival: ({ request }) => opts.onArrival?.(request),
      });
      endpoints.push(endpoint);
      const { spec, status } = endpointEntry({
        service: "web",
        address: `127.0.0.1:${endpoint.port}`,
        zone: ZONE,
        slots: 9,
        draining: false,
        bornAt: 1_000,
      });
      store.write("servers", id, spec, status);
    }
    store.write("config", "main", buildPlan());
    return new InstanceTestBed(
      store,
      endpoints,
      await mkdtemp(join(tmpdir(), "bench-")),
      opts,
    );
  }

  /** Starts an instance as a child process. */
  start({ program, nodeFlags }: InstanceProgram): InstanceProcess {
    const instance = new InstanceProcess({
      id: "bench-1",
      zone: ZONE,
      region: "region-1",
      zones: { [ZONE]: "region-1" },
      host: HOST,
      storePort: this.#store.port,
      program,
      dir: this.#dir,
      graceS: 1,
      memoryMb: this.#opts.memoryMb,
      nodeFlags,
    });
    instance.start();
    return instance;
  }

  /** Sends requests at a constant rate; returns the count of valid responses. */
  async load(
    instance: InstanceProcess,
    perS: number,
    forMs: number,
  ): Promise<number> {
    const callers = Array.from(
      { length: CALLERS },
      () => new FakeCaller(instance.callerAddress),
    );
    const until = performance.now() + forMs;
    const gapMs = perS === 0 ? forMs : MS_PER_S / perS;
    const pending: Promise<boolean>[] = [];
    let next = performance.now();
    while (performance.now() < until) {
      while (perS > 0 && next <= performance.now()) {
        pending.push(this.#send(callers));
        next += gapMs;
      }
      await sleep(Math.min(gapMs, until - performance.now()));
    }
    const results = await Promise.all(pending);
    await Promise.all(callers.map((caller) => caller.close()));
    return results.filter((answered) => answered).length;
  }

  /** The head of a request, without its id and the empty line. */
  requestHead(n: number, isUpload: boolean): string {
    const [method, prefix] = isUpload ? ["POST", "writes"] : ["GET", "reads"];
    return [
      `${method} /${prefix}/${n} HTTP/1.1`,
      `Host: ${CALLER_HOST}`,
      `${HEADERS.affinityKey}: o${n % OBJECTS}`,
      `${HEADERS.clientTimeout}: ${CLIENT_TIMEOUT_MS}`,
      `${HEADERS.key}: Token key-${n % ACCOUNTS}`,
      "",
    ].join("\r\n");
  }

  async #send(callers: readonly FakeCaller[]): Promise<boolean> {
    const n = this.#sent++;
    const caller = callers[n % callers.length] as FakeCaller;
    const result = await caller.send({
      request: `r${n}`,
      host: CALLER_HOST,
      path: n % 3 === 0 ? `/reads/${n}` : `/writes/${n}`,
      key: `key-${n % ACCOUNTS}`,
      object: `o${n % OBJECTS}`,
      idempotent: n % 3 === 0,
      clientTimeoutMs: CLIENT_TIMEOUT_MS,
    });
    return result.kind === "answer" && result.faithful;
  }

  async close(): Promise<void> {
    await Promise.all(this.#endpoints.map((endpoint) => endpoint.close()));
    await this.#store.close();
    await rm(this.#dir, { recursive: true, force: true });
  }
}

function buildPlan(): Record<string, unknown> {
  return planSpec({
    version: 7,
    host: CALLER_HOST,
    routes: [
      { prefix: "/reads/", service: "web", idempotent: true, timeoutS: 4 },
      { prefix: "/writes/", service: "web", idempotent: false, timeoutS: 4 },
    ],
    services: ["web"],
    limits: LIMITS,
    accounts: Array.from({ length: ACCOUNTS }, (_, i) => ({
      id: `account-${i}`,
      keys: [`key-${i}`],
      ratePerS: 1_000,
      burst: 1_000,
    })),
  });
}
