/**
 * Long random runs of the model test: random event sequences on a small fleet
 * under faults, with the sum of all shares checked after every event.
 *
 * Usage: `npm run budgets:model -- --runs 10000 --seed 4`
 *
 * @module
 */
import process from "node:process";
import { parseArgs } from "node:util";
import fc from "fast-check";
import {
  fleetOps,
  runFleetOps,
} from "../../src/instance/testing/budget_ops.ts";

const { values: opts } = parseArgs({
  options: {
    runs: { type: "string", default: "10000" },
    seed: { type: "string", default: "4" },
  },
});

const numRuns = Number(opts.runs);
const seed = Number(opts.seed);
let admitted = 0;
let events = 0;
const startedAt = performance.now();
const property = fc.asyncProperty(
  fc.integer(),
  fleetOps(),
  async (runSeed, ops) => {
    const fleet = await runFleetOps(runSeed, ops);
    admitted += fleet.admitted.length;
    events += fleet.checks;
  },
);
const details = await fc.check(property, { seed, numRuns });
if (details.failed) {
  console.error(details.errorInstance, JSON.stringify(details.counterexample));
  process.exitCode = 1;
}
console.log(JSON.stringify({
  runs: details.numRuns,
  seed,
  failed: details.failed,
  admitted,
  checks: events,
  seconds: Math.round((performance.now() - startedAt) / 1_000),
}));
