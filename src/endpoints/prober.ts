/**
 * Probes the endpoints that fall to this instance and shares what they said
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
  /** Whether a connection may be opened beside those that requests use. */
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
  readonly zoneMates: () => readonly string[];
  readonly onHint: (endpoint: EndpointId, hint: LoadHint) => void;
}

/** A probe that takes longer says by that alone that the endpoint is in trouble. */
const PROBE_TIMEOUT_MS = 1_000;
/** Results older than this are not told on. */
const TELL_MS = 3_000;

/** Runs probes; each endpoint has at most one under way. */
export class Prober {
  readonly #deps: ProberDeps;
  readonly #results = new Map<EndpointId, LoadHint>();
  readonly #busy = new Set<EndpointId>();

  constructor(deps: ProberDeps) {
    this.#deps = deps;
  }

  /** Starts the probes that are due. */
  tick(now: number): void {
    const targets = new Map(this.#deps.targets().map((t) => [t.id, t]));
    for (const id of this.#results.keys()) {
      if (!targets.has(id)) this.#results.delete(id);
    }
    const mates = this.#deps.zoneMates();
    for (const id of this.#deps.schedule.due([...targets.keys()], mates, now)) {
      const target = targets.get(id);
      if (!target?.connectionFree || this.#busy.has(id)) continue;
      void this.#probe(target);
    }
  }

  /** Adds this instance's results for another instance of the zone. */
  fill(part: LoadPart): void {
    const now = this.#deps.clock.now();
    for (const [endpoint, hint] of this.#results) {
      const ageMs = Math.round(now - hint.at);
      if (ageMs <= TELL_MS) part.probes.push(report(endpoint, hint, ageMs));
    }
  }

  /** Takes in what another instance of the zone measured. */
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
    this.#busy.add(id);
    const startedAt = clock.now();
    const found = await client.probe(url, PROBE_TIMEOUT_MS);
    this.#busy.delete(id);
    const at = clock.now();
    metrics.count("probes", { result: found.isOk() ? "ok" : "failed" });
    metrics.timing("probe.duration", at - startedAt);
    // Silence says nothing of readiness: the last word stands.
    const hint = found.isOk()
      ? { ...found.value, reachable: true, at }
      : { ...this.#lastWord(id), reachable: false, at };
    this.#results.set(id, hint);
    this.#deps.onHint(id, hint);
  }

  #lastWord(id: EndpointId): Pick<LoadHint, "ready" | "inFlight"> {
    return {
      ready: this.#results.get(id)?.ready ?? true,
      inFlight: undefined,
    };
  }
}

function report(
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
