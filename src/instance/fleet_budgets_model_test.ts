import test from "ava";
import fc from "fast-check";
import { fleetOps, runFleetOps } from "./testing/budget_ops.ts";

const RUNS = 60;
const SEED = 4;

// Random sequences of faults: messages are lost, duplicated, delayed or reordered,
// clocks drift, processes pause, crash and restart, the store goes down, zones are
// partitioned and the document changes. If two instances spent the same share, an
// account would exceed its rate, or an endpoint its slots.
test("no sum of shares exceeds its total under any fault", async (t) => {
  await fc.assert(
    fc.asyncProperty(fc.integer(), fleetOps(), async (seed, ops) => {
      await runFleetOps(seed, ops);
    }),
    { seed: SEED, numRuns: RUNS, endOnFailure: true },
  );
  t.pass();
});
