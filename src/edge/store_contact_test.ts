import test from "ava";
import { StoreContact } from "./store_contact.ts";

/** Answers once a second, up to and including a time. */
function answerUntil(contact: StoreContact, until: number): void {
  for (let now = 0; now <= until; now += 1_000) contact.answered(now);
}

test("a contact lasts while the store answers", (t) => {
  const contact = new StoreContact();
  answerUntil(contact, 9_000);
  t.is(contact.lengthMs(9_500), 9_000);
  t.is(contact.upSince(9_500), 0);
});

// Guards against a contact that is reported while the store is silent.
test("a contact ends when no answer comes", (t) => {
  const contact = new StoreContact();
  answerUntil(contact, 9_000);
  t.is(contact.lengthMs(11_100), 0);
  t.is(contact.upSince(11_100), undefined);
  contact.answered(12_000);
  t.is(contact.upSince(12_000), 12_000);
});

test("the longest contact that a peer lately reported counts", (t) => {
  const contact = new StoreContact();
  contact.answered(20_000);
  contact.reported(8_000, 20_100);
  contact.reported(3_000, 20_200);
  t.is(contact.upSince(20_300), 12_100);
});

// Guards against a contact that seems to end between reports of whole seconds.
test("a peer's contact goes on while its reports do, however rounded", (t) => {
  const contact = new StoreContact();
  contact.reported(8_000, 20_000);
  for (let now = 20_250; now <= 30_000; now += 330) {
    contact.reported(1_000 * Math.floor((now - 12_000) / 1_000), now);
  }
  t.is(contact.upSince(30_100), 12_000);
});

// Guards against reports from before an outage that no peer has noticed yet.
test("a peer's report counts for a second", (t) => {
  const contact = new StoreContact();
  contact.reported(8_000, 20_000);
  t.is(contact.upSince(21_000), 12_000);
  t.is(contact.upSince(21_001), undefined);
});

test("a peer without a contact reports nothing", (t) => {
  const contact = new StoreContact();
  contact.reported(0, 20_000);
  t.is(contact.upSince(20_000), undefined);
  t.is(contact.lastUpAt(20_100), 20_100);
});

// Guards against an outage that seems short, as calls fail only when overdue.
test("the store was last up at the last answer, or the last contact of a peer", (t) => {
  const contact = new StoreContact();
  contact.answered(19_000);
  t.is(contact.lastUpAt(22_500), 19_000);
  contact.reported(8_000, 20_000);
  t.is(contact.lastUpAt(22_500), 20_000);
});

// Guards against a process that was paused and takes the pause for an outage.
test("a contact that is long past says nothing of the store", (t) => {
  const contact = new StoreContact();
  contact.answered(19_000);
  contact.reported(8_000, 20_000);
  t.is(contact.lastUpAt(25_600), 25_600);
});
