import { createServer } from "node:http";
import type { AddressInfo } from "node:net";
import test, { type ExecutionContext } from "ava";
import { request } from "undici";
import {
  MemoryMetrics,
  SilentLog,
  sleep,
  SystemClock,
  SystemRandom,
} from "../core/mod.ts";
import { DocumentStore, type SectionName, sha256 } from "../document/mod.ts";
import { HttpEndpointClient } from "../endpoints/mod.ts";
import { ConnectPeerTransport } from "../peers/mod.ts";
import { MemoryPlatform } from "../store/mod.ts";
import { parseSettings } from "../settings/mod.ts";
import { Instance } from "./instance.ts";

const KEY = "test-key";
const ZONES = ["z1", "z2"];
const clock = new SystemClock();
const random = new SystemRandom();

interface Answer {
  readonly status: number;
  readonly outcome: unknown;
  readonly text: string;
}

interface Setup {
  readonly instances: Map<string, Instance>;
  /** Operation ids in the order of execution at the endpoint. */
  readonly runs: string[];
  readonly homeOf: (at: string, instance: string) => Promise<string>;
  readonly send: (at: string, id: string, home?: string) => Promise<Answer>;
}

/** One region of two zones with an instance and an endpoint each. */
async function makeSetup(t: ExecutionContext): Promise<Setup> {
  const runs: string[] = [];
  const urls = await Promise.all(ZONES.map(() => openEndpoint(t, runs)));
  const platform = new MemoryPlatform(clock);
  await publish(platform, urls);
  const instances = new Map<string, Instance>();
  for (const zone of ZONES) {
    const instance = await startInstance(platform, zone);
    instances.set(zone, instance);
  }
  t.teardown(async () => {
    for (const instance of instances.values()) await instance.close();
  });
  const at = (zone: string) => instances.get(zone)?.callerUrl ?? "";
  const homeOf = async (zone: string, instance: string) => {
    for (;;) {
      const res = await request(`${at(zone)}/v1/lookup`);
      const found = await res.body.json() as {
        instances: { instance: string; home?: string }[];
      };
      const home = found.instances.find((i) => i.instance === instance)?.home;
      // Until the instances know each other, a home names the store.
      if (home && !home.includes("store")) return home;
      await sleep(clock, 50);
    }
  };
  const send = async (zone: string, id: string, home?: string) => {
    const res = await request(`${at(zone)}/services/s/hold`, {
      method: "POST",
      headers: {
        authorization: `Bearer ${KEY}`,
        "idempotency-key": id,
        ...(home ? { "x-magnoliahook-home": home } : {}),
      },
      body: "lot",
    });
    const outcome = res.headers["x-magnoliahook-outcome"];
    return { status: res.statusCode, outcome, text: await res.body.text() };
  };
  return { instances, runs, homeOf, send };
}

async function openEndpoint(
  t: ExecutionContext,
  runs: string[],
): Promise<string> {
  const server = createServer((req, res) => {
    if (req.url === "/healthz") {
      return void res.end(JSON.stringify({ ready: true, in_flight: 0 }));
    }
    const id = String(req.headers["idempotency-key"]);
    req.resume().on("end", () => {
      runs.push(id);
      res.end(`held ${id}`);
    });
  });
  await new Promise<void>((resolve) =>
    server.listen(0, "127.0.0.1", () => resolve())
  );
  t.teardown(() => {
    server.close();
    server.closeAllConnections();
  });
  return `http://127.0.0.1:${(server.address() as AddressInfo).port}`;
}

async function publish(
  platform: MemoryPlatform,
  urls: readonly string[],
): Promise<void> {
  const endpoints = Object.fromEntries(ZONES.map((zone, i) => [`e${i}`, {
    zone,
    url: urls[i],
    slots: 8,
    connections: 50,
  }]));
  const sections = {
    accounts: {
      accounts: { a1: { keys: [{ id: "k1", sha256: sha256(KEY) }] } },
    },
    rates: { rates: { a1: { rate_per_s: 10_000, burst: 10_000 } } },
    regions: {
      regions: {
        r1: { zones: { z1: { instances: 1 }, z2: { instances: 1 } } },
      },
    },
    services: { services: { s: { endpoints } } },
  };
  const store = new DocumentStore({ platform, clock, random });
  const entries = Object.entries(sections) as [SectionName, unknown][];
  (await store.apply({ author: "test", sections: new Map(entries) }))
    ._unsafeUnwrap();
}

async function startInstance(
  platform: MemoryPlatform,
  zone: string,
): Promise<Instance> {
  const cfg = parseSettings({
    instance: { id: `i-${zone}`, zone, region: "r1" },
    platform: { url: "http://127.0.0.1:1" },
    tick_ms: 20,
  })._unsafeUnwrap();
  const started = await Instance.start({
    cfg,
    platform,
    transport: new ConnectPeerTransport(),
    endpoints: new HttpEndpointClient(),
    clock,
    random,
    metrics: new MemoryMetrics(),
    log: new SilentLog(),
  });
  return started._unsafeUnwrap();
}

/** Retries until the operation runs; instances need some ticks to get slots and rates. */
async function sendUntilRun(
  { send, homeOf }: Setup,
  id: string,
): Promise<{ home: string; answer: Answer }> {
  for (let round = 1;; round++) {
    const home = `${await homeOf("z2", "i-z1")}~${round}`;
    const answer = await send("z2", id, home);
    if (answer.outcome !== "not-run") return { home, answer };
    await sleep(clock, 100);
  }
}

/**
 * The instance that ran a hold stops, gracefully or not, and the caller repeats
 * the hold at an instance of another zone. It must get the recorded answer; a
 * second hold would make the brewer turn other customers away.
 */
for (const end of ["stop", "close"] as const) {
  test(`after ${end} of its home a repeated hold is answered and not run again`, async (t) => {
    const setup = await makeSetup(t);
    const { home, answer } = await sendUntilRun(setup, "op");
    t.deepEqual([answer.status, answer.text], [200, "held op"]);
    // The answer is replicated right after the caller has received it.
    await sleep(clock, 300);
    await setup.instances.get("z1")?.[end]();
    setup.instances.delete("z1");
    const again = await setup.send("z2", "op", home);
    t.deepEqual([again.status, again.text], [200, "held op"]);
    t.deepEqual(setup.runs, ["op"]);
  });
}

test("a hold without a home token runs once when repeated at another instance", async (t) => {
  const setup = await makeSetup(t);
  await sendUntilRun(setup, "first");
  let answers: Answer[] = [];
  do {
    answers = [await setup.send("z1", "op"), await setup.send("z2", "op")];
  } while (answers.some((a) => a.outcome === "not-run"));
  t.deepEqual(answers.map((a) => a.text), ["held op", "held op"]);
  t.deepEqual(setup.runs, ["first", "op"]);
});
