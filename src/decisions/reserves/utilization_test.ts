import test from "ava";
import { Utilization } from "./mod.ts";

test("the share of the capacity in use is averaged over a second", (t) => {
  const utilization = new Utilization(0.5);
  t.is(utilization.update(100, 0), undefined);
  t.is(utilization.update(150, 1_000), 0.1);
  let last: number | undefined;
  for (let i = 1; i <= 20; i++) {
    last = utilization.update(150 + i * 100, 1_000 + i * 250);
  }
  t.true(last !== undefined && Math.abs(last - 0.8) < 0.01);
});

// Guards against a share of infinity where two digests follow each other.
test("measurements without time between them are skipped", (t) => {
  const utilization = new Utilization(1);
  utilization.update(0, 0);
  utilization.update(10, 100);
  t.is(utilization.update(20, 100), 0.1);
});
