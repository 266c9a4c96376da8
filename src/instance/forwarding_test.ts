import { createServer, type IncomingMessage } from "node:http";
import type { AddressInfo } from "node:net";
import test from "ava";
import { request } from "undici";
import {
  MemoryMetrics,
  SilentLog,
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
const clock = new SystemClock();

async function openEndpoint() {
  const seen: IncomingMessage[] = [];
  const server = createServer(async (req, res) => {
    if (req.url === "/healthz") {
      return void res.end(JSON.stringify({ ready: true, in_flight: 0 }));
    }
    seen.push(req);
    let body = "";
    for await (const chunk of req) body += chunk;
    res.end(`answer to ${req.method} ${req.url} ${body}`);
  });
  await new Promise<void>((resolve) => {
    server.listen(0, "127.0.0.1", () => resolve());
  });
  const { port } = server.address() as AddressInfo;
  const close = () => {
    server.close();
    server.closeAllConnections();
  };
  return { url: `http://127.0.0.1:${port}`, seen, close };
}

async function publish(platform: MemoryPlatform, endpointUrl: string) {
  const sections = {
    accounts: {
      accounts: { a1: { keys: [{ id: "k1", sha256: sha256(KEY) }] } },
    },
    rates: { rates: { a1: { rate_per_s: 10_000, burst: 10_000 } } },
    regions: {
      regions: { r1: { zones: { z1: {} } }, r2: { zones: { z2: {} } } },
      links: [
        { from: "r1", to: "r2", cap_mbit_per_s: 100 },
        { from: "r2", to: "r1", cap_mbit_per_s: 100 },
      ],
    },
    services: {
      services: {
        s: {
          routes: [{ method: "*", path_prefix: "/", idempotent: true }],
          endpoints: {
            e1: { zone: "z2", url: endpointUrl, slots: 8, connections: 50 },
          },
        },
      },
    },
  };
  const store = new DocumentStore({
    platform,
    clock,
    random: new SystemRandom(),
  });
  const entries = Object.entries(sections) as [SectionName, unknown][];
  (await store.apply({ author: "test", sections: new Map(entries) }))
    ._unsafeUnwrap();
}

async function startInstance(
  platform: MemoryPlatform,
  place: { id: string; zone: string; region: string },
) {
  const cfg = parseSettings({
    instance: place,
    platform: { url: "http://127.0.0.1:1" },
    tick_ms: 20,
  })._unsafeUnwrap();
  const instance = await Instance.start({
    cfg,
    platform,
    transport: new ConnectPeerTransport(),
    endpoints: new HttpEndpointClient(),
    clock,
    random: new SystemRandom(),
    metrics: new MemoryMetrics(),
    log: new SilentLog(),
  });
  return instance._unsafeUnwrap();
}

async function setup() {
  const endpoint = await openEndpoint();
  const platform = new MemoryPlatform(clock);
  await publish(platform, endpoint.url);
  const near = await startInstance(platform, {
    id: "near",
    zone: "z1",
    region: "r1",
  });
  const far = await startInstance(platform, {
    id: "far",
    zone: "z2",
    region: "r2",
  });
  const send = async (body = "") => {
    const res = await request(`${near.callerUrl}/services/s/lots`, {
      method: body ? "PUT" : "GET",
      headers: { authorization: `Bearer ${KEY}` },
      body: body || null,
    });
    return {
      status: res.statusCode,
      outcome: res.headers["x-magnoliahook-outcome"],
      text: await res.body.text(),
    };
  };
  /** Retries until a request is served; instances need some ticks to discover each other. */
  const served = async (body?: string) => {
    for (;;) {
      const got = await send(body);
      if (got.status === 200) return got;
      if (got.outcome !== "not-run") return got;
      await new Promise((resolve) => clock.after(50, () => resolve(undefined)));
    }
  };
  const close = async () => {
    await near.close();
    await far.close();
    endpoint.close();
  };
  return { endpoint, far, served, close };
}

test("callers of a zone without endpoints are served by another region", async (t) => {
  // A zone has no endpoint left. Its callers still reach their entry instance and
  // should see only some milliseconds of extra latency.
  const { endpoint, served, close } = await setup();
  const read = await served();
  t.is(read.text, "answer to GET /lots ");
  const written = await served("x".repeat(200_000));
  t.is(written.text, `answer to PUT /lots ${"x".repeat(200_000)}`);
  for (const req of endpoint.seen) {
    t.is(req.headers.authorization, undefined);
    t.is(req.headers["x-client-account"], "a1");
    t.deepEqual(
      Object.keys(req.headers).filter((h) => h.startsWith("x-magnoliahook")),
      [],
    );
  }
  await close();
});

const UNAUTHENTICATED_SENDERS = [
  { name: "nobody", from: "", incarnation: "" },
  { name: "a peer's name without its token", from: "near", incarnation: "0" },
];

for (const { name, from, incarnation } of UNAUTHENTICATED_SENDERS) {
  test(`the peer listener refuses a forwarded request from ${name}`, async (t) => {
    // A client that can reach the peer address sets an account of its choice.
    // Trusting the header would run requests without any key.
    const { endpoint, far, served, close } = await setup();
    await served();
    const before = endpoint.seen.length;
    const res = await request(`${far.peerUrl}/v1/forward/s/lots`, {
      headers: {
        "x-client-account": "a1",
        "x-timeout-ms": "1000",
        "x-magnoliahook-hop": "1",
        "x-magnoliahook-from": from,
        "x-magnoliahook-incarnation": incarnation,
      },
    });
    t.is(res.statusCode, 403);
    t.is(res.headers["x-not-run"], "true");
    await res.body.dump();
    t.is(endpoint.seen.length, before);
    await close();
  });
}
