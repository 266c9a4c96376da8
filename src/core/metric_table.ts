/**
 * Every metric by name; docs/METRICS.md is made from this table, and a test
 * holds it against the names used in the code.
 *
 * @module
 */

/** What a metric is. */
export interface MetricEntry {
  readonly type: "count" | "gauge" | "timing";
  readonly unit: string;
  readonly tags: readonly string[];
  readonly help: string;
}

/** Every metric; the prefix `magnoliahook.` is added when it is sent. */
export const METRIC_TABLE: Readonly<Record<string, MetricEntry>> = {
  "burn.writes": {
    type: "count",
    unit: "writes",
    tags: ["result"],
    help: "Summaries of burn counts written to the store",
  },
  "drain.duration": {
    type: "timing",
    unit: "ms",
    tags: ["kind", "id"],
    help: "From a drain's coming in force to the end of its last request here",
  },
  "endpoint.duration": {
    type: "timing",
    unit: "ms",
    tags: ["service"],
    help: "From sending a request to an endpoint to what became of it",
  },
  "endpoint.limit": {
    type: "gauge",
    unit: "requests/s",
    tags: ["endpoint"],
    help: "Rate that an endpoint takes from all instances; 0 without a limit",
  },
  "endpoint.limited": {
    type: "count",
    unit: "requests",
    tags: ["endpoint", "result"],
    help: "Requests for endpoints with a limit",
  },
  "endpoint.drain": {
    type: "timing",
    unit: "ms",
    tags: ["endpoint"],
    help: "From an endpoint's drain to the end of its last request here",
  },
  "forwarded": {
    type: "count",
    unit: "requests",
    tags: ["result"],
    help: "Requests taken from another instance for an endpoint of this zone",
  },
  "operations.answer_bytes": {
    type: "gauge",
    unit: "bytes",
    tags: [],
    help: "Recorded answers held for repeated attempts",
  },
  "operations.forwarded": {
    type: "count",
    unit: "operations",
    tags: [],
    help: "Operations sent on to the instance that is their home",
  },
  "operations.owner_lost": {
    type: "count",
    unit: "operations",
    tags: [],
    help: "Homes whose owner was given up as lost",
  },
  "operations.records": {
    type: "gauge",
    unit: "records",
    tags: [],
    help: "Operations in this instance's ledger",
  },
  "operations.refused": {
    type: "count",
    unit: "operations",
    tags: [],
    help:
      "Operations refused as not run, since no second place took the record",
  },
  "operations.repeated": {
    type: "count",
    unit: "operations",
    tags: [],
    help: "Attempts answered from the record of an earlier one",
  },
  "operations.second_place": {
    type: "timing",
    unit: "ms",
    tags: [],
    help: "Time until a second place has the record, before dispatch",
  },
  "plan.in_force": {
    type: "gauge",
    unit: "version",
    tags: [],
    help:
      "Version of the plan that requests are steered by; 0 before the first",
  },
  "platform.calls": {
    type: "count",
    unit: "calls",
    tags: ["call"],
    help: "Calls to the platform; a waiting watch is one",
  },
  "platform.errors": {
    type: "count",
    unit: "calls",
    tags: ["call"],
    help: "Calls to the platform that were not answered",
  },
  "probe.duration": {
    type: "timing",
    unit: "ms",
    tags: [],
    help: "How long an endpoint's health probe took",
  },
  "probes": {
    type: "count",
    unit: "probes",
    tags: ["result"],
    help: "Health probes sent to endpoints",
  },
  "refusal.duration": {
    type: "timing",
    unit: "ms",
    tags: [],
    help: "From a request's arrival to its refusal or failure",
  },
  "request.duration": {
    type: "timing",
    unit: "ms",
    tags: ["service"],
    help: "From a request's arrival to the end of its answer",
  },
  "requests": {
    type: "count",
    unit: "requests",
    tags: ["service", "result"],
    help:
      "Requests of callers by result: ok or a failure code; service is unknown where the document has none of that name",
  },
  "seats.held": {
    type: "gauge",
    unit: "seats",
    tags: [],
    help: "Seats this instance surely holds",
  },
  "seats.takeovers": {
    type: "count",
    unit: "seats",
    tags: [],
    help: "Seats taken over from an instance that was silent",
  },
  "seats.writes": {
    type: "count",
    unit: "writes",
    tags: ["result"],
    help: "Writes of the zone's seat table",
  },
  "settings.in_force": {
    type: "gauge",
    unit: "flag",
    tags: ["digest"],
    help:
      "1 for the settings in force, by the first digits of the file's SHA-256; 0 for earlier ones",
  },
};
