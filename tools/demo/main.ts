/**
 * The demo: runs one deployment as separate processes on loopback under its
 * workload, and reports what callers and endpoints recorded.
 *
 * @module
 */
import { monitorEventLoopDelay } from "node:perf_hooks";
import process from "node:process";
import { parseArgs } from "node:util";
import { z } from "zod";
import { describe, fromZod } from "../../src/core/mod.ts";
import { DEPLOYMENTS } from "./deployments.ts";
import { eventAtMs, EVENTS, loadFor, triggerEvent } from "./events.ts";
import { Fleet } from "./fleet.ts";
import {
  countFailureReasons,
  type Evidence,
  judge,
  violatesInvariants,
} from "./judge.ts";
import { sendWorkload } from "./workload.ts";

const Options = z.object({
  deployment: z.enum(["kuratori", "roadwatch"]).default("roadwatch"),
  event: z.enum(EVENTS).default("none"),
  seconds: z.coerce.number().min(1).max(600).default(10),
  json: z.boolean().default(false),
});
type Options = z.infer<typeof Options>;

const BAD_INPUT_EXIT_CODE = 2;
const NS_PER_MS = 1e6;
/** Shares and seats settle after a start, as they do after a real deployment. */
const WARM_UP_MS = 2_500;

process.exitCode = await main();

async function main(): Promise<number> {
  const opts = readOptions();
  if (opts === undefined) return BAD_INPUT_EXIT_CODE;
  const fleet = await Fleet.start(DEPLOYMENTS[opts.deployment]);
  try {
    await new Promise((resolve) => setTimeout(resolve, WARM_UP_MS));
    const lag = monitorEventLoopDelay();
    lag.enable();
    const evidence = await run(opts, fleet);
    return report(opts, evidence, Math.round(lag.percentile(99) / NS_PER_MS));
  } finally {
    await fleet.close();
  }
}

function readOptions(): Options | undefined {
  const { values } = parseArgs({
    options: {
      deployment: { type: "string" },
      event: { type: "string" },
      seconds: { type: "string" },
      json: { type: "boolean" },
    },
  });
  const parsed = Options.safeParse(values);
  if (parsed.success) return parsed.data;
  console.error(describe(fromZod("bad_request", parsed.error)));
  return undefined;
}

async function run(opts: Options, fleet: Fleet): Promise<Evidence> {
  const { deployment } = fleet;
  const regions = Object.keys(deployment.regions);
  const seeds = regions.map((region) =>
    fleet.instances.find((i) => i.region === region)?.callerUrl ?? ""
  );
  const workload = sendWorkload({
    deployment,
    seeds,
    seconds: opts.seconds,
    load: loadFor(opts.event, opts.seconds),
  });
  await new Promise((resolve) => setTimeout(resolve, eventAtMs(opts.seconds)));
  const event = await triggerEvent(opts.event, fleet);
  const sent = await workload;
  return { deployment, sent, runs: await fleet.runs(), event };
}

/**
 * Prints the report. `runner_lag_ms` is the p99 delay of the runner's own timers:
 * if it nears the callers' timeouts, the machine was slow, not the fleet.
 */
function report(opts: Options, evidence: Evidence, lagMs: number): number {
  const { deployment, event, seconds } = opts;
  const verdict = judge(evidence);
  if (!opts.json) {
    console.log(`${deployment}, event ${event}, ${seconds} s`);
    console.table(verdict);
    for (
      const [reason, count] of Object.entries(countFailureReasons(evidence))
    ) {
      console.log(`${count} x ${reason}`);
    }
  }
  const measured = { ...verdict, runner_lag_ms: lagMs };
  console.log(JSON.stringify({ deployment, event, seconds, ...measured }));
  return violatesInvariants(verdict) ? 1 : 0;
}
