/**
 * Probes the endpoints assigned to this instance and shares the results
 * within the availability zone.
 *
 * @module
 */
import { create } from "@bufbuild/protobuf";
import type { Clock, EndpointId, Metrics } from "../core/mod.ts";
import type { LoadHint, ProbeSchedule } from "../decisions/steering/mod.ts";
import {
  type LoadPart,
  type ProbeReport,
  ProbeReportSchema,
} from "../gen/load_pb.ts";
import type { EndpointClient } from "./endpoint_client.ts";

/** An endpoint that may be probed. */
export interface ProbeTarget {
  readonly id: EndpointId;
  readonly url: string;
  /** Whether the endpoint has a connection to spare for a probe. */
  readonly connectionFree: boolean;
}

/** What a prober needs. */
export interface ProberDeps {
  readonly clock: Clock;
  readonly metrics: Metrics;
  readonly client: EndpointClient;
  readonly schedule: ProbeSchedule;
  readonly targets: () => readonly ProbeTarget[];
  /** Other live instances of the zone. */
  readonly zonePeers: () => readonly string[];
  readonly onHint: (endpoint: EndpointId, hint: LoadHint) => void;
}

/** A probe without an answer by then counts the endpoint as unreachable. */
const PROBE_TIMEOUT_MS = 1_000;
/** Older results are not shared. */
const MAX_AGE_MS = 3_000;

/** Runs health probes, at most one at a time for each endpoint. */
export class Prober {
  readonly #deps: ProberDeps;
  readonly #results = new Map<EndpointId, LoadHint>();
  readonly #probing = new Set<EndpointId>();

  constructor(deps: ProberDeps) {
    this.#deps = deps;
  }

  /** Starts the probes that are due. */
  tick(now: number): void {
    const targets = new Map(this.#deps.targets().map((t) => [t.id, t]));
    for (const id of this.#results.keys()) {
      if (!targets.has(id)) this.#results.delete(id);
    }
    const peers = this.#deps.zonePeers();
    for (const id of this.#deps.schedule.due([...targets.keys()], peers, now)) {
      const target = targets.get(id);
      if (!target?.connectionFree || this.#probing.has(id)) continue;
      void this.#probe(target);
    }
  }

  /** Adds recent results to a message to another instance of the zone. */
  fill(part: LoadPart): void {
    const now = this.#deps.clock.now();
    for (const [endpoint, hint] of this.#results) {
      const ageMs = Math.round(now - hint.at);
      if (ageMs <= MAX_AGE_MS) part.probes.push(encode(endpoint, hint, ageMs));
    }
  }

  /** Applies the results received from another instance of the zone. */
  absorb(part: LoadPart): void {
    const now = this.#deps.clock.now();
    for (const { endpoint, ready, reachable, inFlight, ageMs } of part.probes) {
      const at = now - ageMs;
      this.#deps.onHint(endpoint as EndpointId, {
        ready,
        reachable,
        inFlight,
        at,
      });
    }
  }

  async #probe({ id, url }: ProbeTarget): Promise<void> {
    const { clock, client, metrics } = this.#deps;
    this.#probing.add(id);
    const startedAt = clock.now();
    const result = await client.probe(url, PROBE_TIMEOUT_MS);
    this.#probing.delete(id);
    const at = clock.now();
    metrics.count("probes", { result: result.isOk() ? "ok" : "failed" });
    metrics.timing("probe.duration", at - startedAt);
    // A failed probe does not show readiness, so the last reported one is kept.
    const hint = result.isOk()
      ? { ...result.value, reachable: true, at }
      : { ...this.#lastReport(id), reachable: false, at };
    this.#results.set(id, hint);
    this.#deps.onHint(id, hint);
  }

  #lastReport(id: EndpointId): Pick<LoadHint, "ready" | "inFlight"> {
    return {
      ready: this.#results.get(id)?.ready ?? true,
      inFlight: undefined,
    };
  }
}

function encode(
  endpoint: EndpointId,
  { ready, reachable, inFlight }: LoadHint,
  ageMs: number,
): ProbeReport {
  return create(ProbeReportSchema, {
    endpoint,
    ready,
    reachable,
    ageMs,
    ...(inFlight === undefined ? {} : { inFlight }),
  });
}
