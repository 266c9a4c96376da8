/**
 * `npm run soak -- --seed N --steps N`: exits 1 if a property was violated.
 *
 * @module
 */
import process from "node:process";
import { parseArgs } from "node:util";
import { shortenTrace, soak } from "./soak.ts";

const DEFAULT_STEPS = "2000";

const { values } = parseArgs({
  options: {
    seed: { type: "string", default: "1" },
    steps: { type: "string", default: DEFAULT_STEPS },
  },
});
const opts = { seed: Number(values.seed), steps: Number(values.steps) };
const result = await soak(opts);
if (result.violations.length > 0) {
  const shortest = await shortenTrace(result, opts);
  for (const line of shortest.trace) console.log(line);
  for (const { property, detail } of shortest.violations) {
    console.log(`seed ${opts.seed}: "${property}" did not hold: ${detail}`);
  }
}
const { seed, steps, operations, faults, violations } = result;
const { answered, notRun: not_run } = result;
console.log(
  JSON.stringify({
    seed,
    steps,
    operations,
    answered,
    not_run,
    faults,
    violations: violations.length,
  }),
);
process.exit(violations.length > 0 ? 1 : 0);
