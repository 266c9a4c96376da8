import test from "ava";
import { ManualClock } from "../../core/mod.ts";
import { StartGate } from "./mod.ts";

/** Waits at a gate; `passed` is set when the wait ends. */
function startWaiting(
  gate: StartGate,
  clientTimeoutMs: number,
  callerSignal?: AbortSignal,
) {
  const waiter = { passed: false };
  const signal = callerSignal ?? new AbortController().signal;
  void gate.wait({ clientTimeoutMs, signal }).then(() => waiter.passed = true);
  return waiter;
}

/** Runs the callbacks of settled promises. */
async function settle(): Promise<void> {
  for (let i = 0; i < 4; i++) await Promise.resolve();
}

test("requests that arrive before the plan are released when it is loaded", async (t) => {
  // All instances lost power, and callers reconnect before the plan is read. If
  // refused, they would spend a retry and all return half a second later.
  const clock = new ManualClock();
  const gate = new StartGate(clock);
  const early = startWaiting(gate, 4_000);
  clock.advance(300);
  await settle();
  t.false(early.passed);
  gate.open();
  await settle();
  t.true(early.passed);
  t.is(gate.waiting, 0);
  const later = startWaiting(gate, 4_000);
  await settle();
  t.true(later.passed);
});

test("no request is held for more than a quarter of its timeout or 500 ms", async (t) => {
  // The store is unavailable at startup. A caller held until its deadline could
  // not retry on another instance.
  const clock = new ManualClock();
  const gate = new StartGate(clock);
  const shortTimeout = startWaiting(gate, 800);
  const longTimeout = startWaiting(gate, 60_000);
  clock.advance(200);
  await settle();
  t.true(shortTimeout.passed);
  t.false(longTimeout.passed);
  clock.advance(300);
  await settle();
  t.true(longTimeout.passed);
});

test("a request whose caller disconnects no longer waits", async (t) => {
  const gate = new StartGate(new ManualClock());
  const abort = new AbortController();
  const caller = startWaiting(gate, 4_000, abort.signal);
  abort.abort();
  await settle();
  t.true(caller.passed);
  t.is(gate.waiting, 0);
});

test("at most 256 requests wait; the rest pass immediately", async (t) => {
  // 1,000 callers return to an instance that cannot reach the store. Each waiting
  // request holds its body in limited memory.
  const gate = new StartGate(new ManualClock());
  const callers = Array.from(
    { length: 1_000 },
    () => startWaiting(gate, 4_000),
  );
  await settle();
  t.is(gate.waiting, 256);
  t.is(callers.filter((c) => c.passed).length, 744);
});
