import test from "ava";
import { MemoryMetrics } from "../core/mod.ts";
import { RecordedLog } from "./testing/recorded_log.ts";
import { UnreadFields } from "./unread_fields.ts";

// Guards against a field that endpoints send and no instance reads.
test("a field that is not read is logged once and counted each time", (t) => {
  const log = new RecordedLog();
  const metrics = new MemoryMetrics();
  const unread = new UnreadFields(log, metrics);
  unread.record(["server-mood"]);
  unread.record(["server-mood", "server-hat"]);
  const logged = log.of("endpoint_field_unread").map(({ field }) => field);
  t.deepEqual(logged, ["server-mood", "server-hat"]);
  t.is(metrics.counts.get("endpoint.field_unread"), 3);
});

// Guards against an endpoint that fills logs and metrics with invented names.
test("the number and the length of reported names are bounded", (t) => {
  const log = new RecordedLog();
  const unread = new UnreadFields(log, new MemoryMetrics());
  unread.record(Array.from({ length: 500 }, (_, i) => `${i}`.padEnd(400, "x")));
  const fields = log.of("endpoint_field_unread");
  t.is(fields.length, 32);
  t.true(fields.every(({ field }) => String(field).length === 64));
});
