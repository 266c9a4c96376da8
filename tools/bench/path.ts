/**
 * `npm run bench -- path`: the latency that an entry instance adds to a request,
 * compared with the same request sent directly to the endpoint in the same run.
 *
 * @module
 */
import { Agent, type Dispatcher, request } from "undici";
import { build, type Histogram } from "hdr-histogram-js";
import { type Deployment, keyOf } from "../demo/deployments.ts";
import { Fleet } from "../demo/fleet.ts";
import { roundTo } from "./figures.ts";

const WARM_UP = 200;
const REQUESTS = 2_000;
const CALLERS = 4;
const US_PER_MS = 1_000;
const ACCOUNT = "account-1";

const DEPLOYMENT: Deployment = {
  regions: { "region-1": ["zone-1"] },
  instancesPerZone: 1,
  linkMbit: 1_000,
  connections: 300,
  services: {
    web: { targets: 4, slots: 16, idempotent: true, workMs: 0, mix: 1 },
  },
  accounts: { [ACCOUNT]: { ratePerS: 100_000, burst: 100_000 } },
};

/** Whether callers reuse connections or open one per request. */
type Connections = "kept" | "new";

/** Latency of one path. */
interface Latency {
  readonly p50_ms: number;
  readonly p99_ms: number;
}

/** Runs the benchmark and prints a table and a line of JSON. */
export async function benchPath(): Promise<void> {
  const fleet = await Fleet.start(DEPLOYMENT);
  try {
    const direct = fleet.endpointUrls().map((url) => `${url}/work`);
    const through = [`${fleet.instances[0]?.callerUrl}/services/web/work`];
    const rows: Record<string, Latency & { gained_p50_ms: number }> = {};
    for (const connections of ["kept", "new"] as const) {
      const base = await measure(direct, connections);
      const viaInstance = await measure(through, connections);
      const addedMs = roundTo(viaInstance.p50_ms - base.p50_ms, 2);
      rows[`direct, ${connections}`] = { ...base, gained_p50_ms: 0 };
      rows[`through, ${connections}`] = {
        ...viaInstance,
        gained_p50_ms: addedMs,
      };
    }
    console.table(rows);
    console.log(JSON.stringify({ bench: "path", rows }));
  } finally {
    await fleet.close();
  }
}

async function measure(
  urls: readonly string[],
  connections: Connections,
): Promise<Latency> {
  const histogram = build();
  await sendAll(urls, { connections, count: WARM_UP, histogram: build() });
  await sendAll(urls, { connections, count: REQUESTS, histogram });
  return {
    p50_ms: roundTo(histogram.getValueAtPercentile(50) / US_PER_MS, 2),
    p99_ms: roundTo(histogram.getValueAtPercentile(99) / US_PER_MS, 2),
  };
}

interface SendOptions {
  readonly connections: Connections;
  readonly count: number;
  readonly histogram: Histogram;
}

/** Sends the requests from a few callers, each with one in flight at a time. */
async function sendAll(
  urls: readonly string[],
  opts: SendOptions,
): Promise<void> {
  const kept = new Agent({ connections: CALLERS });
  const callers = Array.from({ length: CALLERS }, async (_, caller) => {
    for (let i = caller; i < opts.count; i += CALLERS) {
      const url = urls[i % urls.length] as string;
      const agent = opts.connections === "kept" ? kept : new Agent();
      opts.histogram.recordValue(await measureRequestUs(url, agent));
      if (agent !== kept) await agent.close();
    }
  });
  await Promise.all(callers);
  await kept.close();
}

/** Measures the time to receive the complete response, in microseconds. */
async function measureRequestUs(
  url: string,
  dispatcher: Dispatcher,
): Promise<number> {
  const from = performance.now();
  const headers = {
    authorization: `Bearer ${keyOf(ACCOUNT)}`,
    "x-request-id": `${ACCOUNT}/0`,
  };
  const res = await request(url, { dispatcher, headers });
  await res.body.arrayBuffer();
  if (res.statusCode !== 200) throw new Error(`status ${res.statusCode}`);
  return Math.max(1, Math.round((performance.now() - from) * US_PER_MS));
}
