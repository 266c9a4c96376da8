import test, { type ExecutionContext } from "ava";
import { EndpointServer } from "../../tools/standins/endpoint_server.ts";
import {
  type Log,
  LOG_TABLE,
  type LogFields,
  METRIC_TABLE,
  type Metrics,
  SystemClock,
  SystemRandom,
  type Tags,
} from "../core/mod.ts";
import { DocumentStore, type SectionName, sha256 } from "../document/mod.ts";
import { HttpEndpointClient } from "../endpoints/mod.ts";
import { ConnectPeerTransport } from "../peers/mod.ts";
import { MemoryPlatform } from "../platform/mod.ts";
import { parseSettings } from "../settings/mod.ts";
import { Instance } from "./instance.ts";

const KEY = "mh_0123456789abcdef-secret";
const MAX_POLLS = 400;

/** Keeps all that is logged and measured. */
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

async function setup(t: ExecutionContext) {
  const endpoint = await EndpointServer.open({
    id: "mapview-1",
    service: "mapview",
    slots: 4,
    workMs: 1,
    seed: 1,
  });
  const clock = new SystemClock();
  const random = new SystemRandom();
  const platform = new MemoryPlatform(clock);
  const sections = Object.entries({
    accounts: {
      accounts: { a1: { keys: [{ id: "k1", sha256: sha256(KEY) }] } },
    },
    rates: { rates: { a1: { rate_per_s: 100_000, burst: 100_000 } } },
    regions: { regions: { gulf: { zones: { "gulf-a": { instances: 1 } } } } },
    services: {
      services: {
        mapview: {
          routes: [{ method: "GET", path_prefix: "/", idempotent: true }],
          endpoints: {
            "mapview-1": {
              zone: "gulf-a",
              url: endpoint.url,
              slots: 4,
              connections: 9,
            },
          },
        },
      },
    },
  }) as [SectionName, unknown][];
  const store = new DocumentStore({ platform, clock, random });
  (await store.apply({ author: "t", sections: new Map(sections) }))
    ._unsafeUnwrap();
  const recorder = new Recorder();
  const started = await Instance.start({
    cfg: parseSettings({
      instance: { id: "i1", zone: "gulf-a", region: "gulf" },
      platform: { url: "http://127.0.0.1:1" },
    })._unsafeUnwrap(),
    platform,
    transport: new ConnectPeerTransport(),
    endpoints: new HttpEndpointClient(),
    clock,
    random,
    metrics: recorder,
    log: recorder,
  });
  const instance = started._unsafeUnwrap();
  t.teardown(async () => {
    await instance.close();
    await endpoint.close();
  });
  return { endpoint, recorder, instance };
}

test("a key shows in no log, metric or answer, wherever a caller puts it", async (t) => {
  // Callers put keys into paths, ids and headers by mistake. Logs and metrics
  // are read by many; a key in them is a key given away.
  const { endpoint, recorder, instance } = await setup(t);
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
