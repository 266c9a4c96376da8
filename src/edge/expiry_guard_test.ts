import test from "ava";
import { ExpiryGuard } from "./expiry_guard.ts";
import { StoreContact } from "./store_contact.ts";
import { RecordedLog } from "./testing/recorded_log.ts";

/** A guard that counts as in contact since its calls succeed. */
function createGuard() {
  const contact = new StoreContact();
  const log = new RecordedLog();
  const expiry = new ExpiryGuard(contact, log);
  return {
    contact,
    log,
    expiry,
    regained: (now: number) => {
      contact.answered(now);
      expiry.regained(now);
    },
  };
}

test("after an outage for all instances, missing entries may be renewed", (t) => {
  // After a store outage of five seconds all entries have expired. If they were
  // removed, every request would be refused.
  const { expiry, regained } = createGuard();
  expiry.lost(1_000);
  regained(6_000);
  t.is(expiry.holdMs(6_000), 2_300);
  t.is(expiry.holdMs(9_000), 0);
});

test("a peer that reconnects to the store first does not end the hold", (t) => {
  const { contact, expiry, regained } = createGuard();
  expiry.lost(1_000);
  contact.reported(300, 5_500);
  regained(6_000);
  t.is(expiry.holdMs(6_000), 1_500);
});

test("after an outage of this instance alone, missing entries are removed", (t) => {
  // Only this instance lost the store, for ten seconds, and an endpoint left
  // meanwhile. It must get no requests once that is known.
  const { contact, expiry, regained } = createGuard();
  expiry.lost(1_000);
  contact.reported(60_000, 10_900);
  regained(11_000);
  t.is(expiry.holdMs(11_000), 0);
});

test("a contact reported before a peer detected the outage is ignored", (t) => {
  const { contact, expiry, regained } = createGuard();
  expiry.lost(1_000);
  contact.reported(60_000, 1_200);
  regained(6_000);
  t.is(expiry.holdMs(6_000), 2_300);
});

test("no entry expires in a short outage", (t) => {
  const { expiry, regained } = createGuard();
  expiry.lost(1_000);
  regained(2_000);
  t.is(expiry.holdMs(2_000), 0);
});

// Guards against a partition that holds entries until its own estimate ends.
test("a peer that was in contact all the while ends the hold", (t) => {
  const { contact, expiry, regained } = createGuard();
  expiry.lost(1_000);
  regained(6_000);
  contact.reported(60_000, 6_250);
  t.is(expiry.holdMs(6_250), 0);
});

// Guards against a hold that a partitioned peer passes on.
test("a peer's hold does not apply to an instance in contact", (t) => {
  const { contact, expiry, log } = createGuard();
  for (let now = 0; now <= 10_000; now += 1_000) contact.answered(now);
  expiry.holdFor(2_300, 10_000);
  t.is(expiry.holdMs(10_000), 0);
  t.deepEqual(log.of("store_outage_assessed"), [
    { source: "peer", lostMs: undefined, upMs: 10_000, holdMs: 0 },
  ]);
});

test("a peer's hold applies to an instance that knows nothing of the store", (t) => {
  const { expiry } = createGuard();
  expiry.holdFor(1_700, 10_000);
  t.is(expiry.holdMs(10_000), 1_700);
});

// Guards against an outage that watchers noticed late, and so seems short.
test("an outage counts from the last contact of the peers once own calls fail", (t) => {
  const { contact, expiry, regained } = createGuard();
  contact.reported(60_000, 2_000);
  expiry.lost(4_000, "watchers");
  expiry.lost(4_800);
  regained(6_000);
  t.is(expiry.holdMs(6_000), 2_300);
});

// Guards against watchers that are cut off alone and count as an outage of all.
test("the watchers' late report alone is no outage", (t) => {
  const { contact, expiry, regained } = createGuard();
  contact.reported(60_000, 2_000);
  expiry.lost(4_000, "watchers");
  regained(5_000);
  t.is(expiry.holdMs(5_000), 0);
});
