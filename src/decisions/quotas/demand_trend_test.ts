import test from "ava";
import { DemandTrend } from "./mod.ts";

/** Records evenly spaced requests. */
function requests(
  trend: DemandTrend,
  { from, to, perS }: { from: number; to: number; perS: number },
): void {
  for (let at = from; at < to; at += 1_000 / perS) trend.recordRequest(at);
}

test("growth is detected within 400 ms of a burst", (t) => {
  const trend = new DemandTrend();
  requests(trend, { from: 0, to: 10_000, perS: 9 });
  t.is(trend.growth(10_000), 1);
  requests(trend, { from: 10_000, to: 10_400, perS: 36 });
  t.true(trend.growth(10_400) > 1.8, `${trend.growth(10_400)}`);
});

// Guards against random clusters of requests that are taken for a burst.
test("three requests close together are not growth", (t) => {
  const trend = new DemandTrend();
  requests(trend, { from: 0, to: 10_000, perS: 2 });
  for (const at of [10_000, 10_010, 10_020]) trend.recordRequest(at);
  t.is(trend.growth(10_020), 1);
});

test("a higher rate that persists becomes the baseline", (t) => {
  const trend = new DemandTrend();
  requests(trend, { from: 0, to: 5_000, perS: 9 });
  requests(trend, { from: 5_000, to: 17_000, perS: 36 });
  t.is(trend.growth(17_000), 1);
});
