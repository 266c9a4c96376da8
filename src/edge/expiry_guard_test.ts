import test from "ava";
import { ExpiryGuard } from "./expiry_guard.ts";

test("after an outage for all instances, missing entries may be renewed", (t) => {
  // After a store outage of five seconds all entries have expired. If they were
  // removed, every request would be refused.
  const expiry = new ExpiryGuard();
  expiry.lost(1_000);
  expiry.regained(6_000);
  t.is(expiry.holdMs(6_000), 2_300);
  t.is(expiry.holdMs(9_000), 0);
});

test("a peer that reconnects to the store first does not shorten the hold", (t) => {
  const expiry = new ExpiryGuard();
  expiry.lost(1_000);
  expiry.recordPeerContact(5_500);
  expiry.regained(6_000);
  t.true(expiry.holdMs(6_000) > 0);
});

test("after an outage of this instance alone, missing entries are removed", (t) => {
  // Only this instance lost the store, for ten seconds, and an endpoint left
  // meanwhile. It must get no requests once that is known.
  const expiry = new ExpiryGuard();
  expiry.lost(1_000);
  expiry.recordPeerContact(2_100);
  expiry.regained(11_000);
  t.is(expiry.holdMs(11_000), 0);
});

test("a contact reported before a peer detected the outage is ignored", (t) => {
  const expiry = new ExpiryGuard();
  expiry.lost(1_000);
  expiry.recordPeerContact(1_200);
  expiry.regained(6_000);
  t.true(expiry.holdMs(6_000) > 0);
});

test("no entry expires in a short outage", (t) => {
  const expiry = new ExpiryGuard();
  expiry.lost(1_000);
  expiry.regained(2_000);
  t.is(expiry.holdMs(2_000), 0);
});
