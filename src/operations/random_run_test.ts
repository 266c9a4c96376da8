import test from "ava";
import { randomRun } from "./testing/random_run.ts";

const STEPS = 150;

/**
 * Combines all faults in random order: a holder crashes while its backup is
 * partitioned and a message is duplicated. No confirmation may run twice, and
 * no "not run" may be false.
 */
for (const seed of [1, 2, 3, 4, 5, 6]) {
  test(`seed ${seed}: no operation runs twice, no refusal is false`, async (t) => {
    const report = await randomRun(seed, STEPS);
    t.log(JSON.stringify(report));
    t.deepEqual(report.violations, []);
    t.true(report.dispatches > 10 && report.faults > 5);
  });
}
