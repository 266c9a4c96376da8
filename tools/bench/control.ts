/**
 * `npm run bench -- control`: the control-plane cost of an idle entry instance,
 * in real processes, with one dimension of the fleet growing at a time.
 *
 * @module
 */
import { setTimeout as sleep } from "node:timers/promises";
import { type Deployment, OPERATOR_TOKEN } from "../demo/deployments.ts";
import { Fleet, type FleetInstance } from "../demo/fleet.ts";
import { residentBytes, statMs } from "./proc_stat.ts";
import { roundTo } from "./figures.ts";

const SETTLE_MS = 4_000;
const SAMPLE_MS = 6_000;
const MS_PER_S = 1_000;
const BYTES_PER_MB = 1e6;
const KB = 1_024;

/** The size of a fleet to measure. */
interface Shape {
  readonly zones: number;
  readonly instancesPerZone: number;
  readonly accounts: number;
  readonly endpointsPerZone: number;
}

const BASE: Shape = {
  zones: 3,
  instancesPerZone: 2,
  accounts: 8,
  endpointsPerZone: 6,
};

/** The growing dimension and the fleet sizes at which it is measured. */
const SERIES: Readonly<Record<string, readonly Shape[]>> = {
  zone_mates: [1, 2, 4, 6].map((n) => ({ ...BASE, instancesPerZone: n })),
  far_peers: [1, 3, 6, 10].map((zones) => ({ ...BASE, zones })),
  accounts: [8, 200, 1_000, 4_000].map((accounts) => ({ ...BASE, accounts })),
  endpoints: [6, 20, 60, 120].map((endpointsPerZone) => ({
    ...BASE,
    endpointsPerZone,
  })),
};

/** Averages over the instances of one fleet. */
interface Sample extends Shape {
  readonly cpu_ms_per_s: number;
  readonly rss_mb: number;
  readonly batches_per_s: number;
  readonly kb_per_s: number;
  readonly store_calls_per_s: number;
}

/** Runs the benchmark and prints tables and a line of JSON. */
export async function benchControl(): Promise<void> {
  const alone = await measure({ ...BASE, zones: 1, instancesPerZone: 1 });
  const series: Record<string, unknown> = {};
  for (const [name, shapes] of Object.entries(SERIES)) {
    const samples: Sample[] = [];
    for (const shape of shapes) samples.push(await measure(shape));
    console.log(name);
    console.table(samples);
    series[name] = { samples, slopes: slopesOf(name, samples) };
  }
  console.log(JSON.stringify({ bench: "control", alone, series }));
}

async function measure(shape: Shape): Promise<Sample> {
  const fleet = await Fleet.start(deploymentOf(shape));
  try {
    await sleep(SETTLE_MS);
    const before = await readUsage(fleet);
    await sleep(SAMPLE_MS);
    const after = await readUsage(fleet);
    const seconds = (after.at - before.at) / MS_PER_S;
    const perInstance = (of: (r: UsageTotals) => number) =>
      (of(after) - of(before)) / fleet.instances.length / seconds;
    return {
      ...shape,
      cpu_ms_per_s: roundTo(perInstance((r) => r.cpuMs), 3),
      rss_mb: roundTo(
        after.rssBytes / fleet.instances.length / BYTES_PER_MB,
        3,
      ),
      batches_per_s: roundTo(perInstance((r) => r.batches), 3),
      // Doubled because the listener counts only connections opened by peers, and
      // an instance opens as many itself.
      kb_per_s: roundTo(2 * perInstance((r) => r.bytes) / KB, 3),
      store_calls_per_s: roundTo((after.calls - before.calls) / seconds, 3),
    };
  } finally {
    await fleet.close();
  }
}

/** Cumulative usage, summed over a fleet. */
interface UsageTotals {
  readonly at: number;
  readonly cpuMs: number;
  readonly rssBytes: number;
  readonly batches: number;
  readonly bytes: number;
  readonly calls: number;
}

async function readUsage(fleet: Fleet): Promise<UsageTotals> {
  const at = performance.now();
  const calls = Object.values(await fleet.storeCalls());
  const status = await Promise.all(fleet.instances.map(statusOf));
  return {
    at,
    cpuMs: sum(fleet.instances.map((i) => cpuMsOf(i))),
    rssBytes: sum(fleet.instances.map((i) => residentBytes(i.child.pid))),
    batches: sum(status.map((s) => s.peers.batches_sent)),
    bytes: sum(status.map((s) => s.peers.listener_bytes)),
    calls: sum(calls),
  };
}

interface Status {
  readonly peers: {
    readonly batches_sent: number;
    readonly listener_bytes: number;
  };
}

async function statusOf(instance: FleetInstance): Promise<Status> {
  const res = await fetch(`${instance.adminUrl}/v1/status`, {
    headers: { authorization: `Bearer ${OPERATOR_TOKEN}` },
  });
  return await res.json() as Status;
}

function cpuMsOf({ child }: FleetInstance): number {
  return statMs(`/proc/${child.pid}/stat`);
}

/** Least-squares slope of each figure per unit of the growing dimension. */
function slopesOf(name: string, samples: readonly Sample[]) {
  const x = samples.map((s) => seriesValueOf(name, s));
  const fit = (of: (s: Sample) => number) =>
    roundTo(slope(x, samples.map(of)), 3);
  return {
    cpu_ms_per_s: fit((s) => s.cpu_ms_per_s),
    rss_mb: fit((s) => s.rss_mb),
    batches_per_s: fit((s) => s.batches_per_s),
    kb_per_s: fit((s) => s.kb_per_s),
    store_calls_per_s: fit((s) => s.store_calls_per_s),
  };
}

function seriesValueOf(name: string, s: Sample): number {
  switch (name) {
    case "zone_mates":
      return s.instancesPerZone;
    case "far_peers":
      return s.zones * s.instancesPerZone;
    case "accounts":
      return s.accounts;
    default:
      return s.endpointsPerZone;
  }
}

function slope(x: readonly number[], y: readonly number[]): number {
  const meanX = sum(x) / x.length;
  const meanY = sum(y) / y.length;
  const covariance = sum(x.map((v, i) => (v - meanX) * ((y[i] ?? 0) - meanY)));
  return covariance / sum(x.map((v) => (v - meanX) ** 2));
}

function deploymentOf(shape: Shape): Deployment {
  const zones = Array.from({ length: shape.zones }, (_, i) => `zone-${i + 1}`);
  const accounts = Array.from(
    { length: shape.accounts },
    (_, i) => [`account-${i + 1}`, { ratePerS: 50, burst: 50 }] as const,
  );
  return {
    regions: { "region-1": zones },
    instancesPerZone: shape.instancesPerZone,
    linkMbit: 1_000,
    connections: 300,
    services: {
      web: {
        targets: shape.endpointsPerZone * shape.zones,
        slots: 8,
        idempotent: true,
        workMs: 10,
        mix: 1,
      },
    },
    accounts: Object.fromEntries(accounts),
  };
}

function sum(values: readonly number[]): number {
  return values.reduce((n, v) => n + v, 0);
}
