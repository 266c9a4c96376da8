/**
 * Every metric by name; docs/METRICS.md is generated from this table,
 * and tests check it against the names, types and tags used in the code.
 *
 * @module
 */

/** Describes a metric. */
export interface MetricEntry {
  readonly type: "count" | "gauge" | "timing";
  readonly unit: string;
  readonly tags: readonly string[];
  readonly help: string;
}

/** Every metric; names are sent with the prefix `magnoliahook.`. */
export const METRIC_TABLE: Readonly<Record<string, MetricEntry>> = {
  "buffers.limit": {
    type: "gauge",
    unit: "bytes",
    tags: [],
    help:
      "Budget of this instance for request bodies and for responses that callers have not taken",
  },
  "buffers.refused": {
    type: "count",
    unit: "requests",
    tags: [],
    help:
      "Requests that were refused since their bodies, or the responses buffered already, exceed the budget",
  },
  "buffers.streamed": {
    type: "count",
    unit: "responses",
    tags: [],
    help:
      "Responses that were passed on as they arrived, since the budget has no room to buffer them",
  },
  "buffers.used": {
    type: "gauge",
    unit: "bytes",
    tags: [],
    help:
      "Bytes of request bodies and of responses that callers have not taken; responses may exceed the budget",
  },
  "burn.writes": {
    type: "count",
    unit: "writes",
    tags: ["result"],
    help: "Summaries of burn counts written to the store",
  },
  "caller.left": {
    type: "count",
    unit: "requests",
    tags: ["progress", "read"],
    help:
      "Requests whose callers left before the response was sent, by progress (held, reading, forwarded) and by whether the request was read late; those that are forwarded and late may have been passed on after their callers left",
  },
  "drain.duration": {
    type: "timing",
    unit: "ms",
    tags: ["kind", "id"],
    help:
      "Time from when a drain takes effect until its last request on this instance ends",
  },
  "endpoint.attempts": {
    type: "count",
    unit: "attempts",
    tags: ["service", "result"],
    help:
      "Attempts at endpoints by result: answer, not-run, connect_timeout, connect_failed, broken, cut, foreign, malformed, unanswered at the deadline or when the caller left, or unsent by then",
  },
  "endpoint.backoff": {
    type: "count",
    unit: "responses",
    tags: ["endpoint"],
    help: "Refusals of an endpoint that ask for no requests by Retry-After",
  },
  "endpoint.duration": {
    type: "timing",
    unit: "ms",
    tags: ["service"],
    help:
      "Duration of an attempt at an endpoint, from sending the request to its outcome",
  },
  "endpoint.links": {
    type: "gauge",
    unit: "ratio",
    tags: [],
    help:
      "1 while this instance can open connections to endpoints, 0.5 while only open ones respond, 0 while none does",
  },
  "endpoint.limit": {
    type: "gauge",
    unit: "requests/s",
    tags: ["endpoint"],
    help:
      "An endpoint's rate limit for all instances together; 0 without a limit",
  },
  "endpoint.limit_sent": {
    type: "gauge",
    unit: "requests",
    tags: ["endpoint"],
    help:
      "Requests that all instances sent to an endpoint with a rate limit in the last 4 s, as this instance knows it",
  },
  "endpoint.limited": {
    type: "count",
    unit: "requests",
    tags: ["endpoint", "result"],
    help:
      "Requests to rate-limited endpoints, by whether they were sent or withheld; withheld_late if the limit became known after the endpoint was chosen",
  },
  "endpoint.drain": {
    type: "timing",
    unit: "ms",
    tags: ["endpoint"],
    help:
      "Time from the start of an endpoint's drain until its last request on this instance ends",
  },
  "endpoint.field_unread": {
    type: "count",
    unit: "responses",
    tags: ["field"],
    help:
      "Responses of endpoints with a header field that this version does not read; other for names beyond the first 32",
  },
  "endpoint.repeat_duration": {
    type: "timing",
    unit: "ms",
    tags: ["service"],
    help:
      "Time from the decision on another attempt to the end of that attempt, if it may have reached an endpoint",
  },
  "endpoint.repeats": {
    type: "count",
    unit: "attempts",
    tags: ["service", "reason"],
    help:
      "Attempts that followed others of the same request and may have reached an endpoint, by why they were made: lost, failed, shed, unreachable, link or peer",
  },
  "endpoint.retry_credit": {
    type: "count",
    unit: "retries",
    tags: ["service", "source"],
    help:
      "Credit that was earned for retries, by requests or over time (the fixed part of the budget), counted with the lines of retry_budget_state, so only while requests need retries; what is not spent expires",
  },
  "endpoint.retries": {
    type: "count",
    unit: "requests",
    tags: ["service", "reason", "result"],
    help:
      "Requests that needed another attempt, by why, and by whether the retry budget had one left (taken or refused)",
  },
  "endpoint.shed": {
    type: "count",
    unit: "requests",
    tags: ["endpoint", "attempt"],
    help:
      "Requests that an endpoint refused without running them; attempt is first or retry",
  },
  "entrance.requests": {
    type: "count",
    unit: "requests",
    tags: ["result"],
    help:
      "Requests that could not be started at once, as this instance was behind: started, refused when they arrived, expired while they waited, or refused unread with their connection",
  },
  "fleet.instances": {
    type: "gauge",
    unit: "instances",
    tags: [],
    help: "Instances that may be serving, as far as this instance knows",
  },
  "fleet.reporting": {
    type: "gauge",
    unit: "instances",
    tags: [],
    help:
      "Instances whose gossip this instance receives, directly or summed, itself included; if it stays below fleet.instances, accounts are refused too early",
  },
  "fleet.reserve": {
    type: "gauge",
    unit: "instances",
    tags: [],
    help:
      "1 while the directory leaves this instance out, since the strong instances of its zone have ample room; else 0",
  },
  "fleet.view_age": {
    type: "timing",
    unit: "ms",
    tags: [],
    help:
      "Age of the oldest state that this instance knows of others, measured by its own report in the relay's sums",
  },
  "forwarded": {
    type: "count",
    unit: "requests",
    tags: ["result"],
    help: "Requests forwarded by another instance to an endpoint of this zone",
  },
  "loop.lag": {
    type: "timing",
    unit: "ms",
    tags: [],
    help:
      "Time by which the event loop was held up, beyond 100 ms; for as long what sockets received was not read",
  },
  "memory.buffers": {
    type: "gauge",
    unit: "bytes",
    tags: [],
    help:
      "Buffers outside the runtime's heap; beyond `buffers.used` mostly released ones that are not yet collected",
  },
  "memory.heap": {
    type: "gauge",
    unit: "bytes",
    tags: [],
    help: "The runtime's heap, used or not",
  },
  "memory.resident": {
    type: "gauge",
    unit: "bytes",
    tags: [],
    help:
      "Resident memory of the process; what heap and buffers do not explain is code, stacks and fragmentation",
  },
  "operations.answer_bytes": {
    type: "gauge",
    unit: "bytes",
    tags: [],
    help: "Size of the recorded responses kept for repeated attempts",
  },
  "operations.forwarded": {
    type: "count",
    unit: "operations",
    tags: [],
    help: "Operations forwarded to their home instance",
  },
  "operations.owner_lost": {
    type: "count",
    unit: "operations",
    tags: [],
    help:
      "Operations whose record was queried at another replica, as the home's owner was lost",
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
      "Operations refused without being run, for example as no second instance stored the record",
  },
  "operations.repeated": {
    type: "count",
    unit: "operations",
    tags: [],
    help: "Attempts answered from the recorded response to an earlier one",
  },
  "operations.second_place": {
    type: "timing",
    unit: "ms",
    tags: [],
    help: "Time to store the record on a second instance before dispatch",
  },
  "plan.in_force": {
    type: "gauge",
    unit: "version",
    tags: [],
    help: "Version of the plan in effect; 0 before the first",
  },
  "platform.calls": {
    type: "count",
    unit: "calls",
    tags: ["call"],
    help: "Calls to the platform; a long-polling watch counts as one",
  },
  "platform.errors": {
    type: "count",
    unit: "calls",
    tags: ["call"],
    help: "Calls to the platform that got no response",
  },
  "platform.unreadable": {
    type: "count",
    unit: "objects",
    tags: ["kind"],
    help:
      "Objects in lists and watches of the platform that have no valid name or revision; they are left out",
  },
  "probe.duration": {
    type: "timing",
    unit: "ms",
    tags: [],
    help: "Duration of an endpoint's health probe",
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
    help: "Time from a request's arrival to its refusal or failure",
  },
  "request.duration": {
    type: "timing",
    unit: "ms",
    tags: ["service"],
    help: "Time from a request's arrival to the end of its response",
  },
  "request.unread": {
    type: "timing",
    unit: "ms",
    tags: [],
    help:
      "Upper bound of the time for which a request lay unread, beyond 100 ms; includes the wait of a new connection to be accepted",
  },
  "requests": {
    type: "count",
    unit: "requests",
    tags: ["service", "result"],
    help:
      "Requests from callers by result: ok or a failure code; service is unknown if the document does not list it",
  },
  "response.without_length": {
    type: "count",
    unit: "responses",
    tags: ["service"],
    help:
      "Responses of endpoints that were passed on and whose bodies ended with their connections",
  },
  "response.expired": {
    type: "count",
    unit: "responses",
    tags: ["service"],
    help: "Streamed responses that were cut off at the request's deadline",
  },
  "seats.held": {
    type: "gauge",
    unit: "seats",
    tags: [],
    help: "Seats whose lease this instance holds",
  },
  "seats.takeovers": {
    type: "count",
    unit: "seats",
    tags: [],
    help: "Seats taken over from an instance that stopped renewing them",
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
      "1 for the settings in effect, tagged with the first digits of the file's SHA-256; 0 for earlier ones",
  },
};
