import test from "ava";
import type { EndpointId } from "../../core/mod.ts";
import { LimitTable } from "./mod.ts";

const E1 = "e1" as EndpointId;

test("the newest response applies, whichever instance received it", (t) => {
  const table = new LimitTable();
  table.observe(E1, { ratePerS: 6.6, at: 1_000 });
  table.applyReport(E1, { ratePerS: 5.2, at: 1_100 });
  t.is(table.limitOf(E1), 5.2);
  table.applyReport(E1, { ratePerS: 9, at: 900 });
  t.is(table.limitOf(E1), 5.2);
});

// Guards against a response that overtakes the one with the limit and lifts it.
test("a response within the margin does not lift a limit; a later one does", (t) => {
  const table = new LimitTable();
  table.observe(E1, { ratePerS: 6.6, at: 1_000 });
  table.applyReport(E1, { ratePerS: undefined, at: 1_040 });
  t.is(table.limitOf(E1), 6.6);
  table.observe(E1, { ratePerS: undefined, at: 1_300 });
  t.is(table.limitOf(E1), undefined);
  // A delayed report of the limit does not restore it.
  table.applyReport(E1, { ratePerS: 6.6, at: 1_010 });
  t.is(table.limitOf(E1), undefined);
  table.observe(E1, { ratePerS: 3, at: 1_900 });
  t.is(table.limitOf(E1), 3);
});

// Guards against reports from before an endpoint's restart that limit it after.
test("a removed endpoint's limit is dropped, and older reports of it are ignored", (t) => {
  const table = new LimitTable();
  table.observe(E1, { ratePerS: 6.6, at: 1_000 });
  table.remove(E1, 1_500);
  t.is(table.limitOf(E1), undefined);
  table.applyReport(E1, { ratePerS: 6.6, at: 1_400 });
  t.is(table.limitOf(E1), undefined);
  table.applyReport(E1, { ratePerS: 2, at: 1_700 });
  t.is(table.limitOf(E1), 2);
});

// Guards against observations that circulate among instances and never expire.
test("only an instance's own observations are reported, for a limited time", (t) => {
  const table = new LimitTable();
  table.applyReport(E1, { ratePerS: 6.6, at: 1_000 });
  t.is(table.report(1_100).size, 0);
  table.observe(E1, { ratePerS: 6.6, at: 1_200 });
  t.deepEqual(table.report(1_300).get(E1), { ratePerS: 6.6, at: 1_200 });
  table.observe(E1, { ratePerS: undefined, at: 2_000 });
  t.is(table.report(2_100).get(E1)?.ratePerS, undefined);
  t.is(table.report(20_000).size, 0);
});
