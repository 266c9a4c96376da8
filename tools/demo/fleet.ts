/**
 * Runs one deployment as separate processes on loopback: the store, the
 * endpoints of each availability zone, and the entry instances.
 *
 * @module
 */
import type { ChildProcess } from "node:child_process";
import { mkdtemp, rm, writeFile } from "node:fs/promises";
import { tmpdir } from "node:os";
import { join } from "node:path";
import process from "node:process";
import { stringify } from "smol-toml";
import {
  MemoryMetrics,
  SystemClock,
  SystemRandom,
} from "../../src/core/mod.ts";
import {
  DocumentStore,
  type SectionName,
  sha256,
} from "../../src/document/mod.ts";
import { HttpPlatform } from "../../src/store/mod.ts";
import type { EndpointSpec, RunRecord } from "../standins/endpoint_server.ts";
import { type Deployment, endpointList, sectionsOf } from "./deployments.ts";
import { end, start, type Started } from "./processes.ts";

/** An entry instance of the fleet. */
export interface FleetInstance {
  readonly id: string;
  readonly zone: string;
  readonly region: string;
  readonly child: ChildProcess;
  readonly callerUrl: string;
  readonly adminUrl: string;
}

interface EndpointsReady {
  readonly control: string;
  readonly urls: readonly (readonly [string, string])[];
}

interface InstanceReady {
  readonly callerUrl: string;
  readonly adminUrl: string;
}

/** Exit code after SIGINT or SIGTERM. */
const INTERRUPTED_EXIT_CODE = 130;
const SIGNALS = ["SIGINT", "SIGTERM"] as const;
const TSX = "--import=tsx";
const READY_POLL_MS = 100;
const READY_TIMEOUT_MS = 15_000;

/** A running deployment; `close` ends every process it started. */
export class Fleet {
  readonly deployment: Deployment;
  readonly instances: FleetInstance[] = [];
  readonly #children: ChildProcess[] = [];
  #dir = "";
  #storeUrl = "";
  #endpoints: EndpointsReady[] = [];

  private constructor(deployment: Deployment) {
    this.deployment = deployment;
  }

  /** Starts all processes and waits until every instance is ready. */
  static async start(deployment: Deployment): Promise<Fleet> {
    const fleet = new Fleet(deployment);
    // Without this, an interrupted runner would leave its child processes behind,
    // which would distort the next measurement on the machine.
    for (const signal of SIGNALS) process.once(signal, fleet.#closeAndExit);
    try {
      await fleet.#start();
      return fleet;
    } catch (cause) {
      await fleet.close();
      throw cause;
    }
  }

  async close(): Promise<void> {
    for (const signal of SIGNALS) process.off(signal, this.#closeAndExit);
    await Promise.all(this.#children.map((child) => end(child, "SIGKILL")));
    if (this.#dir) await rm(this.#dir, { recursive: true });
  }

  /** Replaces sections of the document. */
  async edit(sections: Record<string, unknown>): Promise<void> {
    const platform = new HttpPlatform({
      baseUrl: this.#storeUrl,
      metrics: new MemoryMetrics(),
    });
    const store = new DocumentStore({
      platform,
      clock: new SystemClock(),
      random: new SystemRandom(),
    });
    const entries = Object.entries(sections) as [SectionName, unknown][];
    const edit = { author: "demo", sections: new Map(entries) };
    const accepted = await store.apply(edit);
    await platform.close();
    if (accepted.isErr()) throw new Error(accepted.error.message);
  }

  /** The document's sections for this fleet's endpoints. */
  sections(): Record<string, unknown> {
    const urls = new Map(this.#endpoints.flatMap((e) => e.urls));
    return sectionsOf(this.deployment, {
      urlOf: (id) => urls.get(id) ?? "",
      digest: sha256,
    });
  }

  /** Makes the store refuse every call, or accept calls again. */
  async storeDown(down: boolean): Promise<void> {
    await fetch(`${this.#storeUrl}/faults`, {
      method: "POST",
      headers: { "content-type": "application/json" },
      body: JSON.stringify({ down }),
    });
  }

  /** URLs of all endpoints. */
  endpointUrls(): string[] {
    return this.#endpoints.flatMap((e) => e.urls).map(([, url]) => url);
  }

  /** Store calls so far, by name; a pending watch counts as one. */
  async storeCalls(): Promise<Record<string, number>> {
    const res = await fetch(`${this.#storeUrl}/calls`);
    return await res.json() as Record<string, number>;
  }

  /** Makes an endpoint take `factor` times as long. */
  async slowDown(endpoint: string, factor: number): Promise<void> {
    await Promise.all(
      this.#endpoints.map(({ control }) =>
        fetch(`${control}/slow/${endpoint}/${factor}`, { method: "POST" })
          .then((res) => res.arrayBuffer())
      ),
    );
  }

  /** Requests recorded by all endpoints. */
  async runs(): Promise<RunRecord[]> {
    const all = await Promise.all(
      this.#endpoints.map(async ({ control }) =>
        await (await fetch(`${control}/runs`)).json() as RunRecord[]
      ),
    );
    return all.flat();
  }

  readonly #closeAndExit = () => {
    void this.close().then(() => process.exit(INTERRUPTED_EXIT_CODE));
  };

  async #start(): Promise<void> {
    this.#dir = await mkdtemp(join(tmpdir(), "magnoliahook-"));
    const store = await this.#launch<{ url: string }>([
      TSX,
      "tools/demo/store_main.ts",
    ]);
    this.#storeUrl = store.ready.url;
    this.#endpoints = await this.#startEndpoints();
    await this.edit(this.sections());
    this.instances.push(...await this.#startInstances());
    await this.#waitUntilReady();
  }

  async #startEndpoints(): Promise<EndpointsReady[]> {
    const byZone = new Map<string, EndpointSpec[]>();
    for (const [seed, e] of endpointList(this.deployment).entries()) {
      const { slots, workMs } = e.spec;
      const spec = { id: e.id, service: e.service, slots, workMs, seed };
      byZone.set(e.zone, [...(byZone.get(e.zone) ?? []), spec]);
    }
    const started = [...byZone.values()].map((specs) =>
      this.#launch<EndpointsReady>([
        TSX,
        "tools/demo/endpoints_main.ts",
        JSON.stringify(specs),
      ])
    );
    return (await Promise.all(started)).map((s) => s.ready);
  }

  async #startInstances(): Promise<FleetInstance[]> {
    const locations = Object.entries(this.deployment.regions).flatMap(
      ([region, zones]) => zones.map((zone) => ({ region, zone })),
    );
    const started = locations.flatMap((location) =>
      Array.from(
        { length: this.deployment.instancesPerZone },
        (_, i) => this.startInstance(location, i + 1),
      )
    );
    return await Promise.all(started);
  }

  /** Starts one instance; the caller adds it to `instances`. */
  async startInstance(
    { region, zone }: { region: string; zone: string },
    number: number,
  ): Promise<FleetInstance> {
    const id = `${zone}-${number}`;
    const file = join(this.#dir, `${id}.toml`);
    const instance = { id, zone, region };
    const platform = { url: this.#storeUrl };
    await writeFile(file, stringify({ instance, platform }));
    const { child, ready } = await this.#launch<InstanceReady>([
      "dist/cli/main.js",
      "serve",
      "--settings",
      file,
    ]);
    return { ...instance, child, ...ready };
  }

  async #launch<T>(args: readonly string[]): Promise<Started<T>> {
    const started = await start<T>(args);
    this.#children.push(started.child);
    return started;
  }

  async #waitUntilReady(): Promise<void> {
    const deadline = Date.now() + READY_TIMEOUT_MS;
    while (Date.now() < deadline) {
      const ready = await Promise.all(this.instances.map(isReady));
      if (ready.every(Boolean)) return;
      await new Promise((resolve) => setTimeout(resolve, READY_POLL_MS));
    }
    throw new Error("the instances did not become ready");
  }
}

async function isReady(instance: FleetInstance): Promise<boolean> {
  const res = await fetch(`${instance.adminUrl}/readyz`);
  await res.arrayBuffer();
  return res.ok;
}
