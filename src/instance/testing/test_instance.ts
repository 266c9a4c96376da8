/**
 * One running instance with an in-memory platform and one endpoint.
 *
 * @module
 */
import { EndpointServer } from "../../../tools/standins/endpoint_server.ts";
import {
  type Log,
  type Metrics,
  SystemClock,
  SystemRandom,
} from "../../core/mod.ts";
import { DocumentStore, type SectionName, sha256 } from "../../document/mod.ts";
import { HttpEndpointClient } from "../../endpoints/mod.ts";
import { ConnectPeerTransport } from "../../peers/mod.ts";
import { MemoryPlatform } from "../../store/mod.ts";
import { parseSettings } from "../../settings/mod.ts";
import { Instance } from "../instance.ts";

/** A running instance with its endpoint and platform. */
export interface TestInstance {
  readonly instance: Instance;
  readonly endpoint: EndpointServer;
  readonly platform: MemoryPlatform;
  close(): Promise<void>;
}

/** API key of the only account. */
export const TEST_KEY = "mh_0123456789abcdef-secret";

const MAX_POLLS = 400;
const POLL_MS = 25;

/** Waits until the instance has its seat and serves a request. */
export async function waitUntilServing(one: TestInstance): Promise<void> {
  for (let i = 0; i < MAX_POLLS; i++) {
    if (await sendRequest(one) === 200) return;
    await new Promise((resolve) => setTimeout(resolve, POLL_MS));
  }
}

/** Sends a request of the only account and returns its status code. */
export async function sendRequest(
  one: TestInstance,
  init: RequestInit = {},
): Promise<number> {
  const url = `${one.instance.callerUrl}/services/mapview/closures`;
  const headers = { authorization: `Bearer ${TEST_KEY}`, ...init.headers };
  const res = await fetch(url, { ...init, headers });
  await res.arrayBuffer();
  return res.status;
}

/** Starts the instance with the service `mapview`, whose GETs are idempotent. */
export async function startTestInstance(
  { log, metrics, caller = {} }: {
    log: Log;
    metrics: Metrics;
    /** The `caller` section of the settings. */
    caller?: Readonly<Record<string, unknown>>;
  },
): Promise<TestInstance> {
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
  const store = new DocumentStore({ platform, clock, random });
  const sections = new Map(
    Object.entries(sectionsFor(endpoint.url)) as [SectionName, unknown][],
  );
  (await store.apply({ author: "t", sections }))._unsafeUnwrap();
  const started = await Instance.start({
    cfg: parseSettings({
      instance: { id: "i1", zone: "gulf-a", region: "gulf" },
      platform: { url: "http://127.0.0.1:1" },
      caller,
    })._unsafeUnwrap(),
    platform,
    transport: new ConnectPeerTransport(),
    endpoints: new HttpEndpointClient(),
    clock,
    random,
    metrics,
    log,
  });
  const instance = started._unsafeUnwrap();
  const close = async () => {
    await instance.close();
    await endpoint.close();
  };
  return { instance, endpoint, platform, close };
}

function sectionsFor(url: string): Record<string, unknown> {
  const keys = [{ id: "k1", sha256: sha256(TEST_KEY) }];
  const place = { zone: "gulf-a", url, slots: 4, connections: 9 };
  return {
    accounts: { accounts: { a1: { keys } } },
    rates: { rates: { a1: { rate_per_s: 100_000, burst: 100_000 } } },
    regions: { regions: { gulf: { zones: { "gulf-a": { instances: 1 } } } } },
    services: {
      services: {
        mapview: {
          routes: [{ method: "GET", path_prefix: "/", idempotent: true }],
          endpoints: { "mapview-1": place },
        },
      },
    },
  };
}
