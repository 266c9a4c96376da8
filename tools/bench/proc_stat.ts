/**
 * CPU time and memory of processes and threads on Linux.
 *
 * @module
 */
import { readFileSync } from "node:fs";

const MS_PER_S = 1_000;
const KB = 1_024;
/** Kernel clock ticks per second in /proc on Linux. */
const TICKS_PER_S = 100;

/** Resident memory of a process, in bytes. */
export function residentBytes(pid: number | undefined): number {
  const status = readFileSync(`/proc/${pid}/status`, "utf8");
  return Number(/VmRSS:\s+(\d+)/.exec(status)?.[1] ?? 0) * KB;
}

/** User plus system time (fields 14 and 15) of a stat file, in milliseconds. */
export function statMs(file: string): number {
  const stat = readFileSync(file, "utf8");
  // The second field, the process name, may contain spaces.
  const fields = stat.slice(stat.lastIndexOf(")") + 2).split(" ");
  const ticks = Number(fields[11]) + Number(fields[12]);
  return ticks * MS_PER_S / TICKS_PER_S;
}
