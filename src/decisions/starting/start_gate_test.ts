import test from "ava";
import { ManualClock } from "../../core/mod.ts";
import { StartGate } from "./mod.ts";

/** Lets a caller wait at a gate; tells when it went on. */
function waits(gate: StartGate, clientTimeoutMs: number, left?: AbortSignal) {
  const waiter = { passed: false };
  const signal = left ?? new AbortController().signal;
  void gate.pass({ clientTimeoutMs, signal }).then(() => waiter.passed = true);
  return waiter;
}

/** Lets promises that are settled run on. */
async function settle(): Promise<void> {
  for (let i = 0; i < 4; i++) await Promise.resolve();
}

test("callers that come before the plan go on when it is there", async (t) => {
  // All instances lost power and their callers are back first. Sent away, they
  // would have spent a retry and come back together half a second later.
  const clock = new ManualClock();
  const gate = new StartGate(clock);
  const first = waits(gate, 4_000);
  clock.advance(300);
  await settle();
  t.false(first.passed);
  gate.open();
  await settle();
  t.true(first.passed);
  t.is(gate.waiting, 0);
  const later = waits(gate, 4_000);
  await settle();
  t.true(later.passed);
});

test("no caller is held for more than a quarter of its time, nor for long", async (t) => {
  // The store is away at the start. A caller held to its deadline could not
  // ask another instance.
  const clock = new ManualClock();
  const gate = new StartGate(clock);
  const hasty = waits(gate, 800);
  const patient = waits(gate, 60_000);
  clock.advance(200);
  await settle();
  t.true(hasty.passed);
  t.false(patient.passed);
  clock.advance(300);
  await settle();
  t.true(patient.passed);
});

test("a caller that leaves is not waited for", async (t) => {
  const gate = new StartGate(new ManualClock());
  const gone = new AbortController();
  const caller = waits(gate, 4_000, gone.signal);
  gone.abort();
  await settle();
  t.true(caller.passed);
  t.is(gate.waiting, 0);
});

test("only so many wait, and the rest is told at once", async (t) => {
  // A crowd returns to an instance that cannot reach the store. Each that
  // waits holds its body, and memory is small.
  const gate = new StartGate(new ManualClock());
  const crowd = Array.from({ length: 1_000 }, () => waits(gate, 4_000));
  await settle();
  t.is(gate.waiting, 256);
  t.is(crowd.filter((c) => c.passed).length, 744);
});
