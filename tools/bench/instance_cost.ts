/**
 * `npm run bench -- start` and `-- request`: CPU time of the bundled program, by
 * thread, run against this repository's fake endpoints and store.
 *
 * @module
 */
import { readdirSync } from "node:fs";
import { setTimeout as sleep } from "node:timers/promises";
import process from "node:process";
import { PROGRAM } from "../bundle/program.ts";
import { RUNTIME_FLAGS } from "../bundle/runtime_flags.ts";
import type { InstanceProcess } from "../process_soak/instance_process.ts";
import { statMs } from "./proc_stat.ts";
import { InstanceTestBed } from "../standins/instance_test_bed.ts";
import { roundTo } from "./figures.ts";

/** `BENCH_FLAGS` replaces the Node.js flags; separated by spaces. */
const NODE_FLAGS = process.env.BENCH_FLAGS?.split(" ") ?? RUNTIME_FLAGS;
const LAUNCH_OPTIONS = { program: PROGRAM, nodeFlags: NODE_FLAGS };
const STARTS = 6;
const START_MS = 2_500;
const START_PER_S = 50;
const RATES_PER_S = [0, 5, 50, 500];
const SAMPLE_MS = 8_000;
const MS_PER_S = 1_000;

/** CPU time of a process. */
interface ProcessorTime {
  readonly mainMs: number;
  /** Runtime threads: compiler, garbage collector, file system. */
  readonly otherMs: number;
}

/** Prints the CPU time of the first 2.5 s after a start, under load. */
export async function benchStart(): Promise<void> {
  const world = await InstanceTestBed.open();
  try {
    const rows: ProcessorTime[] = [];
    for (let i = 0; i < STARTS; i++) {
      const instance = world.start(LAUNCH_OPTIONS);
      const load = world.load(instance, START_PER_S, START_MS);
      await sleep(START_MS);
      rows.push(readProcessorTime(instance));
      await load;
      await instance.close();
    }
    const main_ms = median(rows.map((row) => row.mainMs));
    const other_ms = median(rows.map((row) => row.otherMs));
    console.table(rows);
    console.log(JSON.stringify({ bench: "start", main_ms, other_ms }));
  } finally {
    await world.close();
  }
}

/** Prints the CPU time per request at rising rates, each in a new process. */
export async function benchRequest(): Promise<void> {
  const world = await InstanceTestBed.open();
  try {
    const rows = [];
    let idleMs = 0;
    for (const perS of RATES_PER_S) {
      const { time, answered } = await measure(world, perS);
      const totalMs = time.mainMs + time.otherMs;
      if (perS === 0) idleMs = totalMs;
      rows.push({
        per_s: perS,
        main_ms_per_s: roundTo(time.mainMs / SAMPLE_MS * MS_PER_S, 2),
        other_ms_per_s: roundTo(time.otherMs / SAMPLE_MS * MS_PER_S, 2),
        ms_per_request: roundTo((totalMs - idleMs) / Math.max(1, answered), 2),
        answered,
      });
    }
    console.table(rows);
    console.log(JSON.stringify({ bench: "request", rows }));
  } finally {
    await world.close();
  }
}

/** CPU time of a new instance over the sample, measured once it is ready. */
async function measure(
  world: InstanceTestBed,
  perS: number,
): Promise<{ time: ProcessorTime; answered: number }> {
  const instance = world.start(LAUNCH_OPTIONS);
  while (!await instance.ready()) await sleep(100);
  await sleep(START_MS);
  const before = readProcessorTime(instance);
  const answered = await world.load(instance, perS, SAMPLE_MS);
  const after = readProcessorTime(instance);
  await instance.close();
  const time = {
    mainMs: after.mainMs - before.mainMs,
    otherMs: after.otherMs - before.otherMs,
  };
  return { time, answered };
}

/** Reads user plus system time, of the main thread and of all others. */
function readProcessorTime({ pid }: InstanceProcess): ProcessorTime {
  if (pid === undefined) throw new Error("the instance process is not running");
  let mainMs = 0;
  let otherMs = 0;
  for (const thread of readdirSync(`/proc/${pid}/task`)) {
    const ms = statMs(`/proc/${pid}/task/${thread}/stat`);
    if (thread === String(pid)) mainMs += ms;
    else otherMs += ms;
  }
  return { mainMs, otherMs };
}

function median(values: readonly number[]): number {
  const sorted = [...values].sort((a, b) => a - b);
  return sorted[Math.floor(sorted.length / 2)] ?? 0;
}
