/**
 * Faults at fixed times, to place one relative to another instead of searching
 * for a seed that does.
 *
 * @module
 */
import { err, ok, type Result } from "neverthrow";
import { type FaultName, FAULTS } from "./faults.ts";

/** A fault and its time after the start of the load. */
export interface ScheduledFault {
  readonly name: FaultName;
  readonly atMs: number;
}

/**
 * Parses a schedule: faults separated by commas, each with its time in
 * milliseconds.
 *
 * @example
 * ```ts
 * parseSchedule("kill all@0,endpoint drain@1100");
 * ```
 */
export function parseSchedule(text: string): Result<ScheduledFault[], string> {
  const schedule: ScheduledFault[] = [];
  for (const item of text.split(",")) {
    const [, given = "", at = ""] = /^(.+)@(\d+)$/.exec(item.trim()) ?? [];
    const name = FAULTS.find((fault) => fault === given);
    if (name === undefined) {
      const names = FAULTS.join(", ");
      return err(`"${item}" is not FAULT@MS, with one of: ${names}`);
    }
    schedule.push({ name, atMs: Number(at) });
  }
  return ok(schedule.sort((a, b) => a.atMs - b.atMs));
}
