import test from "ava";
import { MemoryMetrics } from "../../core/mod.ts";
import { parseDocument } from "../../document/mod.ts";
import { DrainTracker } from "./drain_tracker.ts";

function setup(kind: string) {
  const metrics = new MemoryMetrics();
  const work = { running: 2 };
  const tracker = new DrainTracker({ metrics, running: () => work.running });
  const document = parseDocument({ drains: { drains: [{ kind, id: "x" }] } })
    ._unsafeUnwrap();
  tracker.adopt(document, 0);
  const drainMs = () => tracker.progress()[0]?.drain_ms;
  return { metrics, tracker, work, document, drainMs };
}

test("a drain is timed once, from the document to the last request's end", (t) => {
  const { metrics, tracker, work, document, drainMs } = setup("endpoint");
  tracker.tick(100);
  t.is(drainMs(), null);
  work.running = 0;
  tracker.tick(340);
  tracker.adopt(document, 400);
  tracker.tick(500);
  t.is(drainMs(), 340);
  t.is(metrics.counts.get("drain.duration.samples"), 1);
});

test("an idle instance is not drained while new requests may still arrive", (t) => {
  // The instance is idle between two requests. If that were reported as drained,
  // an operator would stop it and abort requests that arrive a second later.
  const { tracker, work, drainMs } = setup("instance");
  work.running = 0;
  tracker.tick(100);
  t.is(drainMs(), null);
  tracker.tick(2_000);
  t.is(drainMs(), 2_000);
});
