import test from "ava";
import * as fc from "fast-check";
import { SlidingWindowCounter } from "./mod.ts";

const WINDOW_MS = 5_000;
/** A count may leave the window late by up to this much. */
const INTERVAL_MS = WINDOW_MS / 50;

test("a sliding window holds all recent counts, and none more than an interval too old", (t) => {
  // Guards against counts that expire too early: an account exceeds its limit.
  fc.assert(
    fc.property(
      fc.array(
        fc.record({
          gapMs: fc.integer({ min: 0, max: 3_000 }),
          n: fc.integer({ min: 1, max: 20 }),
        }),
        { minLength: 1, maxLength: 40 },
      ),
      (steps) => {
        const count = new SlidingWindowCounter(WINDOW_MS, 0);
        const added: { at: number; n: number }[] = [];
        let now = 0;
        for (const { gapMs, n } of steps) {
          now += gapMs;
          count.add(n, now);
          added.push({ at: now, n });
          const within = (ms: number) =>
            added.filter((a) => a.at > now - ms)
              .reduce((sum, a) => sum + a.n, 0);
          const sum = count.sum(now);
          if (sum < within(WINDOW_MS)) return false;
          if (sum > within(WINDOW_MS + INTERVAL_MS)) return false;
        }
        return true;
      },
    ),
    { seed: 3 },
  );
  t.pass();
});

test("assumed earlier spending leaves the window gradually", (t) => {
  // Guards against assumed spending of a new instance that expires all at once:
  // the account could send a whole window's worth again.
  const count = new SlidingWindowCounter(WINDOW_MS, 0);
  count.assume(510, 0, 0);
  t.is(Math.round(count.sum(0)), 510);
  t.is(Math.round(count.sum(WINDOW_MS / 2)), 260);
  t.is(Math.round(count.sum(WINDOW_MS + INTERVAL_MS)), 0);
});
