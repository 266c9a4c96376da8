/**
 * Records request outcomes in the burn counts, with the latency objective of
 * the service.
 *
 * @module
 */
import type { Clock } from "../core/mod.ts";
import type { SteeringDocument } from "../document/mod.ts";
import type { OutcomeRecorder } from "../gateway/mod.ts";
import type { BurnCounts } from "../slo/mod.ts";

/** Creates the outcome recorder of the request pipeline. */
export function outcomeRecorder(
  { clock, counts, document }: {
    clock: Clock;
    counts: BurnCounts;
    document: () => SteeringDocument;
  },
): OutcomeRecorder {
  return {
    record: ({ service, account }, end) => {
      const latencyMs = document().services[service]?.objective.latency_ms;
      if (latencyMs === undefined) return;
      counts.record({ service, account, ...end, latencyMs }, clock.wall());
    },
  };
}
