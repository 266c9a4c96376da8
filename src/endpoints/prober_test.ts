import { create } from "@bufbuild/protobuf";
import test from "ava";
import { ok, type Result } from "neverthrow";
import {
  type EndpointId,
  fail,
  type Failure,
  ManualClock,
  MemoryMetrics,
  SeededRandom,
} from "../core/mod.ts";
import { type LoadHint, ProbeSchedule } from "../decisions/steering/mod.ts";
import { LoadPartSchema } from "../gen/load_pb.ts";
import type {
  EndpointAnswer,
  EndpointClient,
  EndpointReport,
} from "./endpoint_client.ts";
import { Prober } from "./prober.ts";

const ENDPOINTS = ["a", "b", "c", "d", "e", "f"] as EndpointId[];
const MEMBERS = ["i1", "i2", "i3"];

class ProbedEndpoints implements EndpointClient {
  readonly probes = new Map<string, number>();
  report: EndpointReport | undefined = { ready: true, inFlight: 2 };

  send(): Promise<Result<EndpointAnswer, Failure>> {
    return Promise.resolve(fail("internal", "only probes are expected"));
  }

  probe(url: string): Promise<Result<EndpointReport, Failure>> {
    this.probes.set(url, (this.probes.get(url) ?? 0) + 1);
    if (this.report) return Promise.resolve(ok(this.report));
    return Promise.resolve(fail("endpoint_failed", "no answer"));
  }

  close(): Promise<void> {
    return Promise.resolve();
  }
}

function setup() {
  const clock = new ManualClock();
  const client = new ProbedEndpoints();
  const metrics = new MemoryMetrics();
  const make = (self: string, seed: number) => {
    const hints = new Map<string, LoadHint>();
    const prober = new Prober({
      clock,
      metrics,
      client,
      schedule: new ProbeSchedule(self, new SeededRandom(seed)),
      targets: () =>
        ENDPOINTS.map((id) => ({ id, url: id, connectionFree: true })),
      zonePeers: () => MEMBERS.filter((m) => m !== self),
      onHint: (endpoint, hint) => hints.set(endpoint, hint),
    });
    return { prober, hints };
  };
  const zone = MEMBERS.map(make);
  const run = async (ticks: number) => {
    for (let i = 0; i < ticks; i++) {
      clock.advance(100);
      for (const { prober } of zone) prober.tick(clock.now());
      await Promise.resolve();
      await Promise.resolve();
    }
  };
  return { client, metrics, zone, run };
}

test("the instances of a zone together probe each endpoint once a period", async (t) => {
  const { client, metrics, run } = setup();
  await run(100);
  for (const endpoint of ENDPOINTS) {
    const probes = client.probes.get(endpoint) ?? 0;
    t.true(probes >= 7 && probes <= 11, `${endpoint} had ${probes}`);
  }
  const all = [...client.probes.values()].reduce((n, p) => n + p, 0);
  t.is(metrics.counts.get("probes"), all);
});

test("probe results are shared with the other instances, with their age", async (t) => {
  const { zone, run } = setup();
  await run(30);
  const part = create(LoadPartSchema);
  for (const { prober } of zone) prober.fill(part);
  t.deepEqual(part.probes.map((p) => p.endpoint).sort(), ENDPOINTS);
  zone[0]!.prober.absorb(part);
  t.deepEqual([...zone[0]!.hints.keys()].sort(), ENDPOINTS);
  t.is(zone[0]!.hints.get("a")?.inFlight, 2);
});

test("an endpoint that stops answering keeps its last reported readiness", async (t) => {
  // An endpoint reported not ready and then stopped answering. Counting it
  // as ready again would send it requests while it shuts down.
  const { client, zone, run } = setup();
  client.report = { ready: false, inFlight: 0 };
  await run(30);
  client.report = undefined;
  await run(30);
  const hints = zone.flatMap(({ hints }) => [...hints.values()]);
  t.is(hints.length, ENDPOINTS.length);
  t.true(hints.every((h) => !h.ready && !h.reachable));
});
