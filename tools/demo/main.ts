/**
 * The demo: one deployment as separate processes on loopback, with its
 * workload, and a report counted by callers and endpoints.
 *
 * @module
 */
import { mkdtemp, rm, writeFile } from "node:fs/promises";
import { tmpdir } from "node:os";
import { join } from "node:path";
import process from "node:process";
import { parseArgs } from "node:util";
import { stringify } from "smol-toml";
import { Client } from "../../src/client/mod.ts";
import {
  MemoryMetrics,
  SeededRandom,
  SystemClock,
  SystemRandom,
} from "../../src/core/mod.ts";
import {
  DocumentStore,
  type SectionName,
  sha256,
} from "../../src/document/mod.ts";
import { HttpPlatform } from "../../src/platform/mod.ts";
import {
  type Deployment,
  DEPLOYMENTS,
  endpointList,
  keyOf,
  sectionsOf,
} from "./deployments.ts";
import { end, start, type Started } from "./processes.ts";

const { values: opts } = parseArgs({
  options: {
    deployment: { type: "string", default: "roadwatch" },
    seconds: { type: "string", default: "10" },
    json: { type: "boolean", default: false },
  },
});
const deployment = DEPLOYMENTS[opts.deployment as keyof typeof DEPLOYMENTS];
const TSX = ["--import=tsx"];
const INSTANCES_PER_ZONE = 2;
const LOAD = 0.5;

interface EndpointsReady {
  control: string;
  urls: [string, string][];
}
interface EndpointReport {
  id: string;
  runs: number;
  overSlots: number;
  keysSeen: number;
  operations: [string, number][];
}

const children: Started<unknown>[] = [];
const dir = await mkdtemp(join(tmpdir(), "magnoliahook-"));
try {
  process.exitCode = await run();
} finally {
  await Promise.all(children.map(({ child }) => end(child, "SIGKILL")));
  await rm(dir, { recursive: true });
}

async function run(): Promise<number> {
  const store = await launch<{ url: string }>([
    ...TSX,
    "tools/demo/store_main.ts",
  ]);
  const endpoints = await startEndpoints(deployment);
  const urls = new Map(endpoints.flatMap((e) => e.urls));
  await publish(store.url, urls);
  const instances = await startInstances(deployment, store.url);
  await new Promise((resolve) => setTimeout(resolve, 2_000));
  const tally = await workload(instances.map((i) => i.callerUrl));
  const reports = (await Promise.all(
    endpoints.map(async ({ control }) =>
      await (await fetch(control)).json() as EndpointReport[]
    ),
  )).flat();
  const sum = (of: (r: EndpointReport) => number) =>
    reports.reduce((n, r) => n + of(r), 0);
  const report = {
    deployment: opts.deployment,
    seconds: Number(opts.seconds),
    ...tally,
    runs: sum((r) => r.runs),
    doubled: sum((r) => r.operations.filter(([, n]) => n > 1).length),
    over_slots: sum((r) => r.overSlots),
    keys_seen_by_endpoints: sum((r) => r.keysSeen),
  };
  console.log(JSON.stringify(report));
  const bad = report.doubled + report.over_slots +
    report.keys_seen_by_endpoints + report.misdelivered;
  return bad === 0 ? 0 : 1;
}

async function launch<T>(args: string[]): Promise<T> {
  const started = await start<T>(args);
  children.push(started);
  return started.ready;
}

async function startEndpoints(
  deployment: Deployment,
): Promise<EndpointsReady[]> {
  const byZone = new Map<string, ReturnType<typeof endpointList>>();
  for (const e of endpointList(deployment)) {
    byZone.set(e.zone, [...(byZone.get(e.zone) ?? []), e]);
  }
  return await Promise.all([...byZone.values()].map((list) => {
    const specs = list.map(({ id, service }) => ({
      id,
      slots: service.slots,
      workMs: service.workMs,
    }));
    return launch<EndpointsReady>([
      ...TSX,
      "tools/demo/endpoints_main.ts",
      JSON.stringify(specs),
    ]);
  }));
}

async function publish(
  storeUrl: string,
  urls: Map<string, string>,
): Promise<void> {
  const platform = new HttpPlatform({
    baseUrl: storeUrl,
    metrics: new MemoryMetrics(),
  });
  const store = new DocumentStore({
    platform,
    clock: new SystemClock(),
    random: new SystemRandom(),
  });
  const sections = sectionsOf(deployment, {
    urlOf: (id) => urls.get(id) ?? "",
    digest: sha256,
  });
  const entries = Object.entries(sections) as [SectionName, unknown][];
  (await store.apply({ author: "demo", sections: new Map(entries) }))
    ._unsafeUnwrap();
  await platform.close();
}

async function startInstances(
  deployment: Deployment,
  storeUrl: string,
): Promise<{ callerUrl: string }[]> {
  const places = Object.entries(deployment.regions).flatMap(([region, zones]) =>
    zones.flatMap((zone) =>
      Array.from(
        { length: INSTANCES_PER_ZONE },
        (_, i) => ({ id: `${zone}-${i + 1}`, zone, region }),
      )
    )
  );
  return await Promise.all(places.map(async (instance) => {
    const file = join(dir, `${instance.id}.toml`);
    await writeFile(file, stringify({ instance, platform: { url: storeUrl } }));
    return await launch<{ callerUrl: string }>([
      "dist/cli/main.js",
      "serve",
      "--settings",
      file,
    ]);
  }));
}

async function workload(seeds: string[]) {
  const random = new SeededRandom(1);
  const tally = {
    sent: 0,
    answered: 0,
    not_run: 0,
    unknown: 0,
    misdelivered: 0,
    p50_ms: 0,
    p99_ms: 0,
  };
  const latencies: number[] = [];
  const running: Promise<void>[] = [];
  const clients = new Map(
    Object.keys(deployment.accounts).map((
      id,
      i,
    ) => [
      id,
      new Client({ seeds: [seeds[i % seeds.length] ?? ""], key: keyOf(id) }),
    ]),
  );
  const endAt = performance.now() + Number(opts.seconds) * 1_000;
  const send = async (account: string, n: number) => {
    const pick = random.next();
    let sum = 0;
    const [service, spec] = Object.entries(deployment.services)
      .find(([, s]) => (sum += s.mix) > pick) ??
      Object.entries(deployment.services)[0]!;
    const id = `${account}-${n}`;
    const from = performance.now();
    tally.sent += 1;
    const answer = await clients.get(account)!.send({
      service,
      method: spec.idempotent ? "GET" : "POST",
      path: "/work",
      headers: { "x-request-id": id },
      ...(spec.idempotent ? {} : { body: id }),
      timeoutMs: 1_000,
      idempotent: spec.idempotent,
    });
    if (answer.isErr()) {
      if (answer.error.outcome === "not-run") tally.not_run += 1;
      else tally.unknown += 1;
      return;
    }
    tally.answered += 1;
    latencies.push(performance.now() - from);
    const got = JSON.parse(new TextDecoder().decode(answer.value.body));
    if (got.account !== account || got.request !== id) tally.misdelivered += 1;
  };
  const loops = Object.entries(deployment.accounts).map(
    async ([account, { ratePerS }]) => {
      for (let n = 0; performance.now() < endAt; n++) {
        running.push(send(account, n));
        const gap = -Math.log(1 - random.next()) * 1_000 / (ratePerS * LOAD);
        await new Promise((resolve) => setTimeout(resolve, gap));
      }
    },
  );
  await Promise.all(loops);
  await Promise.all(running);
  await Promise.all([...clients.values()].map((c) => c.close()));
  latencies.sort((a, b) => a - b);
  tally.p50_ms = Math.round(latencies[Math.floor(latencies.length * 0.5)] ?? 0);
  tally.p99_ms = Math.round(
    latencies[Math.floor(latencies.length * 0.99)] ?? 0,
  );
  return tally;
}
