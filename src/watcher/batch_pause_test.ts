import test from "ava";
import { BatchPause } from "./batch_pause.ts";

/** Calls and the longest delay of a change, changes coming at even distances. */
function watch(everyMs: number, forMs: number) {
  const pause = new BatchPause();
  let calls = 0;
  let worstMs = 0;
  let asksAt = 0;
  for (let at = 0; at < forMs;) {
    const seenAt = Math.max(at, asksAt);
    worstMs = Math.max(worstMs, seenAt - at);
    calls++;
    asksAt = seenAt + pause.next(seenAt);
    at = (Math.floor(seenAt / everyMs) + 1) * everyMs;
  }
  return { calls, worstMs };
}

// Guards against a store that is called at the rate of changes.
test("a series of changes costs three calls a second at most", (t) => {
  const { calls, worstMs } = watch(50, 10_000);
  t.true(calls <= 30, `${calls} calls`);
  t.true(worstMs <= 400, `${worstMs} ms`);
});

// Guards against a drain that is seen late for nothing.
test("a change that comes alone waits for no other", (t) => {
  t.is(watch(1_000, 10_000).worstMs, 0);
  t.is(watch(1_000, 10_000).calls, 10);
});

// Guards against pauses that stay long after a release.
test("after a series the pause is short again", (t) => {
  const pause = new BatchPause();
  for (let now = 0; now < 5_000; now += 400) pause.next(now);
  t.is(pause.next(10_000), 100);
});
