import test from "ava";
import { randomRun } from "./testing/random_run.ts";

const STEPS = 150;

/**
 * Everything that can happen to an operation happens in any order and at once:
 * a holder dies while its second place is cut off and a message comes twice.
 * No confirmation may run twice, and no "not run" may be false.
 */
for (const seed of [1, 2, 3, 4, 5, 6]) {
  test(`seed ${seed}: nothing runs twice, no refusal lies`, async (t) => {
    const report = await randomRun(seed, STEPS);
    t.log(JSON.stringify(report));
    t.deepEqual(report.violations, []);
    t.true(report.dispatches > 10 && report.faults > 5);
  });
}
