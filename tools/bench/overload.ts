/**
 * `npm run bench -- overload`: what callers get from one instance at rates above
 * what it can serve and while it is frozen, and how many requests of callers that
 * have left reach endpoints.
 *
 * @module
 */
import { setTimeout as sleep } from "node:timers/promises";
import process from "node:process";
import { PROGRAM } from "../bundle/program.ts";
import { RUNTIME_FLAGS } from "../bundle/runtime_flags.ts";
import {
  type CallerKind,
  DepartingCallers,
  type DepartingLoad,
} from "../standins/departing_callers.ts";
import { InstanceTestBed } from "../standins/instance_test_bed.ts";
import { statMs } from "./proc_stat.ts";

const PATIENCE_MS = 600;
const SHORT_PATIENCE_MS = 300;
const LOAD_MS = 4_000;
const RATES_PER_S = [300, 600, 1_000, 1_500, 4_000];
const FREEZES = 4;
const FREEZE_MS = 1_500;
const FREEZE_EVERY_MS = 2_500;
const FROZEN_PER_S = 60;
const METRICS_PORT = 9464;
const KINDS: readonly CallerKind[] = [
  "new connections",
  "kept connections",
  "uploads",
];
/** Names of the cases to run, separated by semicolons; all if empty. */
const ONLY = (process.env.BENCH_ONLY ?? "").split(";").filter((s) => s !== "");

interface Case {
  readonly name: string;
  readonly load: DepartingLoad;
  readonly freezes: number;
}

const CASES: readonly Case[] = [
  ...RATES_PER_S.map((perS): Case => ({
    name: `${perS} a second`,
    load: {
      kind: "new connections",
      perS,
      forMs: LOAD_MS,
      patienceMs: PATIENCE_MS,
    },
    freezes: 0,
  })),
  ...KINDS.map((kind): Case => ({
    name: `frozen, ${kind}`,
    load: {
      kind,
      perS: FROZEN_PER_S,
      forMs: FREEZES * FREEZE_EVERY_MS,
      patienceMs: SHORT_PATIENCE_MS,
    },
    freezes: FREEZES,
  })),
];

/** Prints a row for each load, each with a new process. */
export async function benchOverload(): Promise<void> {
  const rows = [];
  for (const each of CASES) {
    if (ONLY.length > 0 && !ONLY.includes(each.name)) continue;
    rows.push(await measure(each));
  }
  console.table(rows);
  console.log(JSON.stringify({ bench: "overload", rows }));
}

/** What the instance counted itself; 0 where it does not count that. */
async function readMetrics(host: string) {
  const page = await (await fetch(`http://${host}:${METRICS_PORT}/`)).text();
  const valueOf = (line: RegExp) => Number(line.exec(page)?.[1] ?? 0);
  return {
    leftForwarded: valueOf(
      /caller_left\S*{progress="forwarded",read="late"} (\d+)/,
    ),
    readLate: valueOf(/request_unread\S*_count (\d+)/),
  };
}

async function measure({ name, load, freezes }: Case) {
  let callers: DepartingCallers | undefined;
  const world = await InstanceTestBed.open({
    workMs: 40,
    onArrival: (request) => callers?.arrived(request),
  });
  const instance = world.start({ program: PROGRAM, nodeFlags: RUNTIME_FLAGS });
  try {
    while (!await instance.ready()) await sleep(100);
    await world.load(instance, 100, 2_000);
    const [host = "", port] = instance.callerAddress.split(":");
    callers = new DepartingCallers({
      host,
      port: Number(port),
      head: (n, kind) => world.requestHead(n, kind === "uploads"),
    });
    const stat = `/proc/${instance.pid}/stat`;
    const before = statMs(stat);
    const run = callers.run(load);
    for (let i = 0; i < freezes; i++) {
      await sleep(FREEZE_EVERY_MS - FREEZE_MS);
      instance.freeze(FREEZE_MS);
      await sleep(FREEZE_MS);
    }
    const result = await run;
    const processorMs = statMs(stat) - before;
    return { name, ...result, processorMs, ...await readMetrics(host) };
  } finally {
    await instance.close();
    await world.close();
  }
}
