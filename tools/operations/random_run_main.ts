/**
 * Runs randomised operation tests over many seeds; prints one line of JSON.
 *
 * `node --import=tsx tools/operations/random_run_main.ts --seeds 100 --steps 400`
 *
 * @module
 */
import process from "node:process";
import { parseArgs } from "node:util";
import {
  randomRun,
  type RandomRunReport,
} from "../../src/operations/testing/random_run.ts";

const { values } = parseArgs({
  options: {
    from: { type: "string", default: "1" },
    seeds: { type: "string", default: "100" },
    steps: { type: "string", default: "400" },
  },
});
const from = Number(values.from);
const steps = Number(values.steps);
const reports: RandomRunReport[] = [];
for (let seed = from; seed < from + Number(values.seeds); seed++) {
  const report = await randomRun(seed, steps);
  reports.push(report);
  if (report.violations.length > 0) console.error(JSON.stringify(report));
}
const sum = (of: (r: RandomRunReport) => number) =>
  reports.reduce((n, r) => n + of(r), 0);
const violations = sum((r) => r.violations.length);
console.log(JSON.stringify({
  seeds: reports.length,
  steps: sum((r) => r.steps),
  operations: sum((r) => r.operations),
  attempts: sum((r) => r.attempts),
  dispatches: sum((r) => r.dispatches),
  answered: sum((r) => r.answered),
  not_run: sum((r) => r.notRun),
  unknown: sum((r) => r.unknown),
  faults: sum((r) => r.faults),
  violations,
}));
process.exitCode = violations === 0 ? 0 : 1;
