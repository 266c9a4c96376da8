/**
 * `npm run soak:processes -- --seed N --seconds S --per-zone N [--callers N]
 * [--schedule "FAULT@MS,…"] [--logs DIR] [--directory]`: runs the real program
 * as processes, and exits 1 if a property was violated, 2 if it could not run.
 * The last line of output is JSON. With `--logs` the instances' logs stay in
 * that directory; with `--directory` callers use the addresses that instances
 * list.
 *
 * @module
 */
import process from "node:process";
import { parseArgs } from "node:util";
import { parseSchedule, type ScheduledFault } from "./fault_schedule.ts";
import { ProcessSoak } from "./process_soak.ts";
import { DEFAULT_CALLERS } from "./soak_callers.ts";

const { values } = parseArgs({
  options: {
    seed: { type: "string", default: "1" },
    seconds: { type: "string", default: "40" },
    "per-zone": { type: "string", default: "2" },
    callers: { type: "string", default: String(DEFAULT_CALLERS) },
    program: { type: "string", default: "target/magnoliahook.cjs" },
    schedule: { type: "string" },
    logs: { type: "string" },
    directory: { type: "boolean", default: false },
  },
});
const soak = new ProcessSoak({
  seed: Number(values.seed),
  seconds: Number(values.seconds),
  perZone: Number(values["per-zone"]),
  callers: Number(values.callers),
  program: values.program,
  useDirectory: values.directory,
  ...(values.logs === undefined ? {} : { logDir: values.logs }),
  ...(values.schedule === undefined
    ? {}
    : { schedule: readSchedule(values.schedule) }),
});
const result = await soak.run().catch((cause) => {
  console.error(`the run could not be made: ${cause}`);
  process.exit(2);
});
const { violations, trace, lines, ...figures } = result;
const [first] = violations;
if (first !== undefined) {
  for (const line of trace) console.log(line);
  for (const { atMs, property, detail } of violations.slice(0, 10)) {
    console.log(`seed ${result.seed}, ${atMs} ms: "${property}": ${detail}`);
  }
  for (const line of lines) console.log(line);
}
console.log(JSON.stringify({
  ...figures,
  violations: violations.length,
  findings: [...new Set(violations.map((v) => v.property))],
}));
process.exit(violations.length > 0 ? 1 : 0);

function readSchedule(text: string): readonly ScheduledFault[] {
  const schedule = parseSchedule(text);
  if (schedule.isOk()) return schedule.value;
  console.error(`--schedule: ${schedule.error}`);
  process.exit(2);
}
