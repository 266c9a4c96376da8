import test from "ava";
import { type Log, type LogFields, ManualClock } from "../core/mod.ts";
import type { InstanceListeners } from "./instance_listeners.ts";
import { type HandOverStep, runStopSequence } from "./stop_sequence.ts";

/** Runs a stop with one hand-over step and returns what it logged of it. */
async function stopWith(step: HandOverStep): Promise<LogFields | undefined> {
  const clock = new ManualClock();
  const steps: LogFields[] = [];
  const log: Log = {
    event: (name, fields = {}) => {
      if (name === "stop_step") steps.push(fields);
    },
    child: () => log,
  };
  const listeners = { leave: () => {}, drain: () => Promise.resolve() };
  const stopped = runStopSequence({
    clock,
    log,
    listeners: listeners as unknown as InstanceListeners,
    running: () => 0,
    announce: () => Promise.resolve(),
    flush: () => Promise.resolve(),
    handOverSteps: [step],
    leaveNoticeMs: 100,
  });
  let isStopped = false;
  void stopped.then(() => isStopped = true);
  while (!isStopped) {
    clock.advance(100);
    await new Promise((resolve) => setImmediate(resolve));
  }
  return steps.find(({ step: name }) => name === step.name);
}

// Guards against a hand-over that fails without a cause in the log.
test("a failed step of a stop is logged with its cause, and the stop goes on", async (t) => {
  const fields = await stopWith({
    name: "seats",
    handOver: () => Promise.reject(new Error("scripted")),
  });
  t.deepEqual(fields, { step: "seats", done: false, cause: "Error: scripted" });
});

test("a step that takes too long is logged as timed out", async (t) => {
  const fields = await stopWith({
    name: "seats",
    timeoutMs: () => 200,
    handOver: () => new Promise(() => {}),
  });
  t.deepEqual(fields, { step: "seats", done: false, cause: "timed out" });
});

test("a step that succeeds is logged as done", async (t) => {
  const fields = await stopWith({
    name: "seats",
    handOver: () => Promise.resolve(),
  });
  t.deepEqual(fields, { step: "seats", done: true, cause: undefined });
});
