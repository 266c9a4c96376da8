import test from "ava";
import { BatchPause } from "./batch_pause.ts";

/** Number of calls and longest delay of a change, for changes at even intervals. */
function watch(everyMs: number, forMs: number) {
  const pause = new BatchPause();
  let calls = 0;
  let worstMs = 0;
  let nextCallAt = 0;
  for (let at = 0; at < forMs;) {
    const seenAt = Math.max(at, nextCallAt);
    worstMs = Math.max(worstMs, seenAt - at);
    calls++;
    nextCallAt = seenAt + pause.next(seenAt);
    at = (Math.floor(seenAt / everyMs) + 1) * everyMs;
  }
  return { calls, worstMs };
}

// Guards against calls to the store at the rate of changes.
test("a series of changes costs at most three calls a second", (t) => {
  const { calls, worstMs } = watch(50, 10_000);
  t.true(calls <= 30, `${calls} calls`);
  t.true(worstMs <= 400, `${worstMs} ms`);
});

// Guards against a needless delay of a single drain.
test("a single change is not delayed", (t) => {
  t.is(watch(1_000, 10_000).worstMs, 0);
  t.is(watch(1_000, 10_000).calls, 10);
});

// Guards against pauses that stay long after a release.
test("the pause resets after a series", (t) => {
  const pause = new BatchPause();
  for (let now = 0; now < 5_000; now += 400) pause.next(now);
  t.is(pause.next(10_000), 100);
});
