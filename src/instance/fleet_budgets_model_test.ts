import test from "ava";
import fc from "fast-check";
import { fleetOps, runFleetOps } from "./testing/budget_ops.ts";

const RUNS = 60;
const SEED = 4;

// Messages between instances get lost, come twice, late or in another order,
// clocks drift, processes pause, die and come back, the store goes down, zones
// are cut off and the document changes, in any order. Were a part ever to be
// spent by two instances, an account would get more than its rate, or an
// endpoint more requests than it has slots.
test("no sum of parts passes its total, whatever fails", async (t) => {
  await fc.assert(
    fc.asyncProperty(fc.integer(), fleetOps(), async (seed, ops) => {
      await runFleetOps(seed, ops);
    }),
    { seed: SEED, numRuns: RUNS, endOnFailure: true },
  );
  t.pass();
});
