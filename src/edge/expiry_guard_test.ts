import test from "ava";
import { ExpiryGuard } from "./expiry_guard.ts";

test("after an outage for all, missing entries are given time to come back", (t) => {
  // The store was away for five seconds and the entries of all endpoints have
  // lapsed. Were they taken as gone, every request would be refused.
  const expiry = new ExpiryGuard();
  expiry.lost(1_000);
  expiry.regained(6_000);
  t.is(expiry.holdMs(6_000), 2_300);
  t.is(expiry.holdMs(9_000), 0);
});

test("another instance that regains the store first changes nothing", (t) => {
  const expiry = new ExpiryGuard();
  expiry.lost(1_000);
  expiry.otherInTouch(5_500);
  expiry.regained(6_000);
  t.true(expiry.holdMs(6_000) > 0);
});

test("after an outage for this instance alone, what is missing is gone", (t) => {
  // Only this instance was cut off from the store, for ten seconds, and an
  // endpoint left meanwhile. It must get nothing more as soon as that is known.
  const expiry = new ExpiryGuard();
  expiry.lost(1_000);
  expiry.otherInTouch(2_100);
  expiry.regained(11_000);
  t.is(expiry.holdMs(11_000), 0);
});

test("what another told before it noticed the outage does not count", (t) => {
  const expiry = new ExpiryGuard();
  expiry.lost(1_000);
  expiry.otherInTouch(1_200);
  expiry.regained(6_000);
  t.true(expiry.holdMs(6_000) > 0);
});

test("a short outage lets nothing lapse", (t) => {
  const expiry = new ExpiryGuard();
  expiry.lost(1_000);
  expiry.regained(2_000);
  t.is(expiry.holdMs(2_000), 0);
});
