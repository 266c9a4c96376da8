import test from "ava";
import { LapseWatch } from "./lapse_watch.ts";

test("after an outage for all, missing entries are given time to come back", (t) => {
  // The store was away for five seconds and the entries of all endpoints have
  // lapsed. Were they taken as gone, every request would be refused.
  const lapses = new LapseWatch();
  lapses.lost(1_000);
  lapses.regained(6_000);
  t.is(lapses.holdMs(6_000), 2_300);
  t.is(lapses.holdMs(9_000), 0);
});

test("another instance that regains the store first changes nothing", (t) => {
  const lapses = new LapseWatch();
  lapses.lost(1_000);
  lapses.otherInTouch(5_500);
  lapses.regained(6_000);
  t.true(lapses.holdMs(6_000) > 0);
});

test("after an outage for this instance alone, what is missing is gone", (t) => {
  // Only this instance was cut off from the store, for ten seconds, and an
  // endpoint left meanwhile. It must get nothing more as soon as that is known.
  const lapses = new LapseWatch();
  lapses.lost(1_000);
  lapses.otherInTouch(2_100);
  lapses.regained(11_000);
  t.is(lapses.holdMs(11_000), 0);
});

test("what another told before it noticed the outage does not count", (t) => {
  const lapses = new LapseWatch();
  lapses.lost(1_000);
  lapses.otherInTouch(1_200);
  lapses.regained(6_000);
  t.true(lapses.holdMs(6_000) > 0);
});

test("a short outage lets nothing lapse", (t) => {
  const lapses = new LapseWatch();
  lapses.lost(1_000);
  lapses.regained(2_000);
  t.is(lapses.holdMs(2_000), 0);
});
