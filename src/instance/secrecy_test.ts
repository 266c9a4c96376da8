import test from "ava";
import {
  type Log,
  LOG_TABLE,
  type LogFields,
  METRIC_TABLE,
  type Metrics,
  type Tags,
} from "../core/mod.ts";
import { startTestInstance, TEST_KEY as KEY } from "./testing/test_instance.ts";

const MAX_POLLS = 400;

/** Records all log events and metrics. */
class Recorder implements Log, Metrics {
  readonly lines: string[] = [];
  readonly events: { name: string; fields: LogFields }[] = [];
  readonly metrics: { name: string; tags: Tags }[] = [];

  event(name: string, fields: LogFields = {}): void {
    this.lines.push(`${name} ${JSON.stringify(fields)}`);
    this.events.push({ name, fields });
  }

  child(): Log {
    return this;
  }

  count(name: string, tags: Tags = {}): void {
    this.#keep(name, tags);
  }

  gauge(name: string, _value: number, tags: Tags = {}): void {
    this.#keep(name, tags);
  }

  timing(name: string, _ms: number, tags: Tags = {}): void {
    this.#keep(name, tags);
  }

  close(): Promise<void> {
    return Promise.resolve();
  }

  #keep(name: string, tags: Tags): void {
    this.lines.push(`${name} ${JSON.stringify(tags)}`);
    this.metrics.push({ name, tags });
  }
}

test("a key appears in no log, metric or response, wherever a caller puts it", async (t) => {
  // Callers put keys into paths, ids and headers by mistake. Logs and metrics
  // have many readers, so a key in them is leaked.
  const recorder = new Recorder();
  const one = await startTestInstance({ log: recorder, metrics: recorder });
  const { endpoint, instance } = one;
  t.teardown(() => one.close());
  const send = async (path: string, init: RequestInit = {}) => {
    const headers = { authorization: `Bearer ${KEY}`, ...init.headers };
    const res = await fetch(instance.callerUrl + path, { ...init, headers });
    recorder.lines.push(await res.text());
    return res.status;
  };
  let status = 0;
  for (let i = 0; i < MAX_POLLS && status !== 200; i++) {
    status = await send("/services/mapview/closures");
    await new Promise((resolve) => setTimeout(resolve, 10));
  }
  t.is(status, 200);
  await send(`/services/${KEY}/closures`);
  await send("/services/mapview/x", {
    method: "POST",
    body: "{}",
    headers: { "idempotency-key": `${KEY} ${KEY}` },
  });
  await send("/services/mapview/x", { headers: { "x-timeout-ms": KEY } });
  await send("/services/mapview/x", {
    headers: { authorization: `Bearer ${KEY}x` },
  });
  await send("/v1/lookup", { method: "POST", body: `{"lookups": "${KEY}"}` });
  t.true(recorder.metrics.some((m) => m.tags["service"] === "mapview"));
  t.deepEqual(recorder.lines.filter((line) => line.includes(KEY)), []);
  t.false(endpoint.runs.some((run) => run.keySeen));
  for (const { name, fields } of recorder.events) {
    const listed = LOG_TABLE[name]?.fields ?? [];
    t.true(Object.keys(fields).every((f) => listed.includes(f)), name);
  }
  for (const { name, tags } of recorder.metrics) {
    const listed = METRIC_TABLE[name]?.tags ?? [];
    t.true(Object.keys(tags).every((f) => listed.includes(f)), name);
  }
});
