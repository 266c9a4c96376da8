/**
 * `npm run bench -- decisions`: compares the fair dispatcher with the round-robin
 * baseline for both deployments under six load patterns, and measures the cost of
 * a decision at two sizes.
 *
 * @module
 */
import { DEPLOYMENTS } from "../../demo/deployments.ts";
import { type DecisionCost, measureCost, SIZES } from "./cost.ts";
import { ACCOUNTS, PATTERNS } from "./patterns.ts";
import type { FleetShape } from "./fleet_shape.ts";
import { type LoadPattern, type RunReport, simulate } from "./simulation.ts";

/** Results of one pattern on one deployment. */
interface Comparison {
  readonly deployment: string;
  readonly pattern: string;
  readonly ours: RunReport;
  readonly baseline: RunReport;
  /** Ours over the baseline; null if either is unknown or the baseline is 0. */
  readonly ratios: Readonly<Record<string, number | null>>;
}

const SECONDS = 10;
const SEED = 1;

/** Runs the benchmark and prints a table and a line of JSON. */
export async function benchDecisions(): Promise<void> {
  const comparisons: Comparison[] = [];
  for (const [name, deployment] of Object.entries(DEPLOYMENTS)) {
    const shape = shapeOf(deployment);
    for (const pattern of PATTERNS) {
      comparisons.push(await compare(name, shape, pattern));
    }
  }
  console.table(comparisons.flatMap(rowsOf));
  const gateway = await compareRouting();
  console.table(gateway);
  const costs: DecisionCost[] = [];
  for (const size of SIZES) costs.push(await measureCost(size));
  console.table(costs);
  console.log(JSON.stringify({
    bench: "decisions",
    seconds: SECONDS,
    seed: SEED,
    comparisons,
    gateway,
    costs,
    growth: growthOf(costs),
  }));
}

/** The shape of a deployment, reduced to the service with the most requests. */
function shapeOf(deployment: typeof DEPLOYMENTS["kuratori"]): FleetShape {
  const services = Object.values(deployment.services);
  const main = services.reduce((a, b) => a.mix >= b.mix ? a : b);
  return {
    zones: Object.values(deployment.regions).flat().length,
    instancesPerZone: 2,
    endpoints: main.targets,
    slots: main.slots,
    workMs: main.workMs,
    accounts: ACCOUNTS,
  };
}

async function compare(
  deployment: string,
  shape: FleetShape,
  pattern: LoadPattern,
): Promise<Comparison> {
  const opts = { seconds: SECONDS, seed: SEED };
  const ours = await simulate(shape, pattern, { ...opts, kind: "fair" });
  const baseline = await simulate(shape, pattern, {
    ...opts,
    kind: "round-robin",
  });
  const keys = Object.keys(ours) as (keyof RunReport)[];
  const ratios = Object.fromEntries(
    keys.map((key) => [key, ratio(ours[key], baseline[key])]),
  );
  return { deployment, pattern: pattern.name, ours, baseline, ratios };
}

/**
 * Compares endpoints used only by their zone's instances with every instance
 * using every endpoint; slots are split evenly over the instances that use them.
 */
async function compareRouting() {
  const rows = [];
  for (const [name, deployment] of Object.entries(DEPLOYMENTS)) {
    const shape = shapeOf(deployment);
    const direct = {
      ...shape,
      zones: 1,
      instancesPerZone: shape.zones * shape.instancesPerZone,
    };
    for (
      const pattern of PATTERNS.filter((p) => ROUTING_PATTERNS.has(p.name))
    ) {
      const opts = { seconds: SECONDS, seed: SEED, kind: "fair" } as const;
      const { name: on } = pattern;
      for (const [way, of] of Object.entries({ zone: shape, direct })) {
        const report = await simulate(of, pattern, opts);
        rows.push({ deployment: name, pattern: on, way, ...rounded(report) });
      }
    }
  }
  return rows;
}

/** Patterns in which the routing to the endpoints matters most. */
const ROUTING_PATTERNS: ReadonlySet<string> = new Set([
  "burst",
  "slow",
  "drain",
]);

function ratio(ours: number | null, baseline: number | null): number | null {
  if (ours === null || !baseline) return null;
  return Math.round(ours / baseline * 1_000) / 1_000;
}

function rowsOf({ deployment, pattern, ours, baseline }: Comparison) {
  return [
    { deployment, pattern, way: "ours", ...rounded(ours) },
    { deployment, pattern, way: "baseline", ...rounded(baseline) },
  ];
}

function rounded(report: RunReport): Record<string, number | null> {
  const entries = Object.entries(report).map(([key, value]) =>
    [key, value === null ? null : Math.round(value * 1_000) / 1_000] as const
  );
  return Object.fromEntries(entries);
}

/** Growth of sizes and decision costs from today to the planned size. */
function growthOf(costs: readonly DecisionCost[]) {
  const [today, planned] = costs;
  const [small, large] = SIZES;
  if (!today || !planned || !small || !large) return undefined;
  return {
    sites: ratio(large.sites, small.sites),
    instances: ratio(large.instances, small.instances),
    dispatch: ratio(planned.dispatch_us, today.dispatch_us),
    queued: ratio(planned.queued_us, today.queued_us),
    lookup: ratio(planned.lookup_us, today.lookup_us),
  };
}
