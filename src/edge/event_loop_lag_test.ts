import test from "ava";
import { ManualClock, MemoryMetrics } from "../core/mod.ts";
import { AcceptLag } from "./accept_lag.ts";
import { EventLoopLag } from "./event_loop_lag.ts";
import { RecordedLog } from "./testing/recorded_log.ts";

function setup() {
  const clock = new ManualClock();
  const log = new RecordedLog();
  const metrics = new MemoryMetrics();
  const lag = new EventLoopLag({ clock, log, metrics });
  return { clock, log, metrics, lag };
}

/** Lets the event loop take a turn. */
function nextTurn(): Promise<void> {
  return new Promise((resolve) => setImmediate(resolve));
}

test("a loop that takes turns is not late", async (t) => {
  const { clock, log, metrics, lag } = setup();
  clock.advance(50);
  await nextTurn();
  t.false(lag.isLate);
  t.is(lag.ms, 0);
  clock.advance(40);
  t.is(lag.ms, 40);
  lag.close();
  t.deepEqual(log.events, []);
  t.is(metrics.counts.size, 0);
});

// Guards against requests that count as read in time since a timer ran first.
test("a timer that runs before the sockets are read leaves the lag", async (t) => {
  const { clock, log, metrics, lag } = setup();
  clock.advance(900);
  t.is(lag.ms, 900);
  t.true(lag.isLate);
  t.is(log.of("loop_late").length, 1);
  t.true(metrics.counts.has("loop.lag.samples"));
  await nextTurn();
  t.is(lag.ms, 0);
  lag.close();
});

test("connections wait until a turn accepts none", async (t) => {
  const { clock, lag } = setup();
  const queue = new AcceptLag(clock, lag);
  t.is(queue.ms, 0);
  queue.accepted();
  for (let turn = 0; turn < 5; turn++) {
    clock.advance(10);
    queue.accepted();
    await nextTurn();
  }
  t.is(queue.ms, 50);
  await nextTurn();
  await nextTurn();
  t.is(queue.ms, 0);
  lag.close();
});
