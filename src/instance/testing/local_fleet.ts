/**
 * Real instances on loopback sockets in one process, with an in-memory platform
 * and endpoints that count executed operations.
 *
 * @module
 */
import {
  type Clock,
  MemoryMetrics,
  SilentLog,
  SystemClock,
  SystemRandom,
} from "../../core/mod.ts";
import { DocumentStore, type SectionName, sha256 } from "../../document/mod.ts";
import {
  type EndpointClient,
  HttpEndpointClient,
} from "../../endpoints/mod.ts";
import { ConnectPeerTransport } from "../../peers/mod.ts";
import { MemoryPlatform } from "../../store/mod.ts";
import { parseSettings } from "../../settings/mod.ts";
import { Instance } from "../instance.ts";
import { CountingEndpoint } from "./counting_endpoint.ts";

/** API key of the fleet's only account. */
export const FLEET_KEY = "test-key";
const TICK_MS = 20;
const SLOTS = 16;
const DEADLINE_MS = 1_000;

/** Options of {@link LocalFleet}. */
export interface LocalFleetOptions {
  readonly endpoints: number;
  readonly seats: number;
  /** Processing time of a request at an endpoint, in milliseconds. */
  readonly workMs: number;
  /**
   * Maximum deadline of a request, in milliseconds; a seat that changed hands
   * stays vacant a little longer.
   */
  readonly deadlineMs?: number;
}

/** A fleet of instances in one zone. */
export class LocalFleet {
  readonly clock: Clock = new SystemClock();
  readonly platform: MemoryPlatform = new MemoryPlatform(this.clock);
  readonly endpoints: CountingEndpoint[];
  readonly store: DocumentStore;
  readonly #started: Instance[] = [];

  private constructor(endpoints: CountingEndpoint[]) {
    this.endpoints = endpoints;
    this.store = new DocumentStore({
      platform: this.platform,
      clock: this.clock,
      random: new SystemRandom(),
    });
  }

  static async open(opts: LocalFleetOptions): Promise<LocalFleet> {
    const endpoints = await Promise.all(
      Array.from(
        { length: opts.endpoints },
        () => CountingEndpoint.open(opts.workMs),
      ),
    );
    const fleet = new LocalFleet(endpoints);
    await fleet.publish(sectionsOf(endpoints, opts));
    return fleet;
  }

  /** Applies an edit to the document. */
  async publish(sections: Record<string, unknown>): Promise<void> {
    const entries = Object.entries(sections) as [SectionName, unknown][];
    const edit = { author: "test", sections: new Map(entries) };
    (await this.store.apply(edit))._unsafeUnwrap();
  }

  /** @param endpoints The instance's client; one for HTTP by default. */
  async start(
    id: string,
    endpoints: EndpointClient = new HttpEndpointClient(),
  ): Promise<Instance> {
    const cfg = parseSettings({
      instance: { id, zone: "z1", region: "r1" },
      platform: { url: "http://127.0.0.1:1" },
      tick_ms: TICK_MS,
    })._unsafeUnwrap();
    const started = await Instance.start({
      cfg,
      platform: this.platform,
      transport: new ConnectPeerTransport(),
      endpoints,
      clock: this.clock,
      random: new SystemRandom(),
      metrics: new MemoryMetrics(),
      log: new SilentLog(),
    });
    const instance = started._unsafeUnwrap();
    this.#started.push(instance);
    return instance;
  }

  async close(): Promise<void> {
    await Promise.all(this.#started.map((i) => i.close()));
    await Promise.all(this.endpoints.map((e) => e.close()));
  }
}

function sectionsOf(
  endpoints: readonly CountingEndpoint[],
  { seats, deadlineMs = DEADLINE_MS }: LocalFleetOptions,
): Record<string, unknown> {
  const entries = endpoints.map((e, i) => [`e${i}`, {
    zone: "z1",
    url: e.url,
    slots: SLOTS,
    connections: 100,
  }]);
  return {
    accounts: {
      accounts: { a1: { keys: [{ id: "k1", sha256: sha256(FLEET_KEY) }] } },
    },
    rates: { rates: { a1: { rate_per_s: 10_000, burst: 10_000 } } },
    regions: { regions: { r1: { zones: { z1: { instances: seats } } } } },
    services: {
      services: {
        s: {
          deadline_ms: deadlineMs,
          routes: [{ method: "GET", path_prefix: "/", idempotent: true }],
          endpoints: Object.fromEntries(entries),
        },
      },
    },
  };
}
