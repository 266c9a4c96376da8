/**
 * Every log event by name; docs/LOGS.md is generated from this table, and
 * tests check it against the names and fields used in the code.
 *
 * @module
 */

/** Describes a log event. */
export interface LogEntry {
  /** Namespace under `magnoliahook:`; empty for `magnoliahook` itself. */
  readonly namespace: string;
  readonly fields: readonly string[];
  readonly help: string;
}

/** Fields about a request's routing, whatever its outcome. */
const COMMON_REQUEST_FIELDS = [
  "request",
  "route",
  "account",
  "service",
  "plan",
  "tries",
  "tried",
  "chosenBy",
  "peers",
  "passedOnBy",
  "leftMs",
] as const;

/** Every log event. */
export const LOG_TABLE: Readonly<Record<string, LogEntry>> = {
  body_refused: {
    namespace: "requests",
    fields: [
      "request",
      "bytes",
      "rank",
      "usedBytes",
      "limitBytes",
      "retryAfterMs",
    ],
    help:
      "A request was refused before its body was read, as the body does not fit in the memory for buffers; it has not run",
  },
  budget_suspended: {
    namespace: "budgets",
    fields: ["account", "reason"],
    help:
      "An internal error: this instance's share of an account's rate exceeds the whole rate, so it grants and lends nothing of that account's rate until the share fits again",
  },
  burn_write_failed: {
    namespace: "burn",
    fields: ["code"],
    help:
      "A summary of burn counts was not written; the next summary includes its counts",
  },
  datagram_too_long: {
    namespace: "fleet",
    fields: ["sort", "bytes"],
    help:
      "A datagram to other instances exceeds the maximum length and was not sent; logged once",
  },
  digest_rejected: {
    namespace: "fleet",
    fields: ["reason"],
    help:
      "The first datagram that could not be decoded as a digest; further ones are not logged",
  },
  document_in_force: {
    namespace: "document",
    fields: ["generation", "rejected"],
    help:
      "A document generation took effect; rejected counts its parts that did not",
  },
  document_load_failed: {
    namespace: "document",
    fields: ["code"],
    help: "The content of a section could not be fetched",
  },
  document_rejected: {
    namespace: "document",
    fields: ["generation"],
    help: "This instance rejected a whole document generation",
  },
  document_watch_failed: {
    namespace: "document",
    fields: ["code"],
    help: "The manifest could not be watched; polling continues",
  },
  endpoint_backoff: {
    namespace: "steering",
    fields: ["endpoint", "ms"],
    help:
      "An endpoint refused a request with a Retry-After; this instance sends it nothing for so long",
  },
  endpoint_backoff_unreadable: {
    namespace: "steering",
    fields: ["endpoint"],
    help:
      "An endpoint refused a request with a Retry-After that is neither seconds nor a date with the response's own Date; it is ignored. Logged once until a valid one is read",
  },
  endpoint_changed: {
    namespace: "steering",
    fields: ["endpoint", "service", "zone", "draining", "coldMs", "revision"],
    help: "An endpoint registered, restarted, began to drain or became cold",
  },
  endpoint_field_unread: {
    namespace: "steering",
    fields: ["field"],
    help:
      "Endpoints' responses have a header field that this version does not read; it is passed on to callers. Logged once for each name, for at most 32 names",
  },
  endpoint_leaving: {
    namespace: "steering",
    fields: ["endpoint"],
    help:
      "An endpoint announced its leaving in a response; it gets no new requests from this instance until it starts anew",
  },
  endpoint_limit_changed: {
    namespace: "steering",
    fields: ["endpoint", "ratePerS", "source"],
    help:
      "An endpoint's limit on requests per second from all instances changed; without ratePerS it has none. Source is answer, end, or the group of instances that reported it",
  },
  endpoint_limit_state: {
    namespace: "steering",
    fields: [
      "endpoint",
      "ratePerS",
      "demandPerS",
      "fraction",
      "windowSent",
      "ownWindowSent",
      "sent",
      "reporting",
      "reserved",
      "viewAgeMs",
      "instances",
      "sizeKnown",
      "knownMs",
      "passedOnMs",
      "creditLeft",
    ],
    help:
      "What decides on requests to an endpoint with a limit, at most once a second: the fleet's demand, the fraction of requests sent, the sends of 4 s of the fleet and of this instance, its sends since it knows the limit, the instances that report, the fraction reserved for unreachable ones, the age of the oldest report, the instances of the fleet and whether the list of them was read, for how long this instance has known the limit, how long ago it first passed a response with it on, and the credit that it may add before others learn of its sends",
  },
  endpoint_limit_unreadable: {
    namespace: "steering",
    fields: ["endpoint"],
    help:
      "An endpoint announced a limit that is not a valid rate; the last known limit stays in effect. Logged once until a valid one is read",
  },
  endpoint_links_changed: {
    namespace: "steering",
    fields: ["state", "probed", "failingMs", "servingPeers"],
    help:
      "This instance lost its links to all endpoints (down), can use open connections only (reused-only), or can open new ones again (up); probed are the endpoints by which it knows",
  },
  endpoint_removed: {
    namespace: "steering",
    fields: ["endpoint", "reason"],
    help:
      "An endpoint is no longer used; lapsed means that its entry was still missing after the store recovered",
  },
  endpoint_unreadable: {
    namespace: "steering",
    fields: ["endpoint"],
    help:
      "An endpoint's entry in the store could not be parsed; the endpoint is not used",
  },
  entrance_overloaded: {
    namespace: "requests",
    fields: ["waiting", "refused", "acceptMs", "retryAfterMs"],
    help:
      "Requests were refused since this instance cannot start them in time; waiting is the number of those before them, refused that since the last line, acceptMs how long connections waited to be accepted; at most once a second",
  },
  instance_started: {
    namespace: "",
    fields: ["instance"],
    help:
      "The listeners are open and the first fetch of the document was attempted",
  },
  instances_listed: {
    namespace: "fleet",
    fields: ["instances"],
    help: "This instance has registered in the instance list and read it",
  },
  instances_unlisted: {
    namespace: "fleet",
    fields: ["code"],
    help: "The instance list could not be written or read; retrying",
  },
  kind_fetched: {
    namespace: "steering",
    fields: ["kind", "revision"],
    help: "The objects of a kind were fetched from another instance",
  },
  kind_listed: {
    namespace: "steering",
    fields: ["kind", "revision", "changedAt", "objects"],
    help:
      "The objects of a kind were listed from the store; the watch continues from this revision",
  },
  kind_not_applied: {
    namespace: "steering",
    fields: ["kind", "cause"],
    help:
      "An internal error: changes of a kind of object could not be applied; all its objects are read again",
  },
  lines_left_out: {
    namespace: "",
    fields: ["lines"],
    help: "Number of log lines dropped in the last second to limit the volume",
  },
  loop_late: {
    namespace: "requests",
    fields: ["lagMs"],
    help:
      "The event loop was held up by a stop, a suspension or load: requests may have lain unread for this long; at most once a second",
  },
  operations_handed_over: {
    namespace: "operations",
    fields: ["heir"],
    help:
      "On shutdown, the operation ledger was handed over to the instance heir; without heir no instance took it",
  },
  peer_removed: {
    namespace: "fleet",
    fields: ["peer"],
    help: "An unreachable instance is considered dead and was removed",
  },
  peer_unavailable: {
    namespace: "peers",
    fields: ["peer"],
    help: "An exchange with another instance failed",
  },
  peer_unreachable: {
    namespace: "fleet",
    fields: ["peer"],
    help:
      "No gossip is received from an instance; requests are not forwarded to it",
  },
  roles_changed: {
    namespace: "fleet",
    fields: ["relay", "storeWatcher"],
    help:
      "Whether this instance relays gossip and watches the store for its zone",
  },
  reserve_changed: {
    namespace: "fleet",
    fields: ["reserve", "reason", "utilization"],
    help:
      "Whether this instance is a reserve: it serves, but the directory leaves it out while the strong instances of its zone have ample room; with their utilization if they did all of the zone's work",
  },
  plan_in_force: {
    namespace: "steering",
    fields: ["plan", "routes", "accounts"],
    help: "A plan took effect",
  },
  plan_missing: {
    namespace: "steering",
    fields: ["name", "plan"],
    help: "The plan was deleted; the last one stays in effect",
  },
  plan_unreadable: {
    namespace: "steering",
    fields: ["name"],
    help: "A plan cannot be parsed; the last one stays in effect",
  },
  request_answered: {
    namespace: "requests",
    fields: [
      ...COMMON_REQUEST_FIELDS,
      "endpoint",
      "peer",
      "status",
      "tookMs",
    ],
    help:
      "An endpoint responded to a request; sampled at one in 64 by request id",
  },
  request_refused: {
    namespace: "requests",
    fields: [
      ...COMMON_REQUEST_FIELDS,
      "code",
      "outcome",
      "reason",
      "retryAfterMs",
      "tookMs",
    ],
    help: "A request was refused or failed",
  },
  response_unproven: {
    namespace: "requests",
    fields: ["request"],
    help:
      "An endpoint's response without a length was replaced by a failure, as closing the connection after it would have lost the responses to requests behind it",
  },
  response_expired: {
    namespace: "requests",
    fields: [...COMMON_REQUEST_FIELDS, "tookMs"],
    help: "The deadline passed while a response was streamed; it was cut off",
  },
  response_streamed: {
    namespace: "requests",
    fields: ["request", "rank", "usedBytes", "limitBytes"],
    help:
      "The memory for buffers has no room for a response; it is passed on as it arrives, and cannot be retried if it is cut off",
  },
  retry_budget_state: {
    namespace: "requests",
    fields: [
      "service",
      "requests",
      "taken",
      "refused",
      "arrived",
      "longestMs",
      "sinceMs",
      "earnedByRequests",
      "earnedOverTime",
      "credit",
      "instances",
      "sizeKnown",
    ],
    help:
      "Requests and retries at a service since the last such line, at most once a second while there are retries: those that the budget allowed and refused, and the attempts beyond the first that may have reached an endpoint, with the maximum time from the decision on one to its end; then the credit, in retries, that requests earned in that time and that was earned as a part of the fixed number, what is left of it, and the fleet size by which the fixed part of the budget is divided",
  },
  seat_taken_over: {
    namespace: "seats",
    fields: ["index"],
    help: "The seat of an instance that stopped renewing it was taken over",
  },
  seats_store_failed: {
    namespace: "seats",
    fields: ["code"],
    help: "The zone's seat table could not be read or written",
  },
  settings_reloaded: {
    namespace: "",
    fields: ["graceMs", "retryRatio", "retrySlack"],
    help: "Changed settings were read and are in effect",
  },
  settings_unreadable: {
    namespace: "",
    fields: ["reason"],
    help: "Changed settings cannot be read; the previous ones stay in effect",
  },
  stop_begun: {
    namespace: "",
    fields: ["graceMs"],
    help: "Shutdown began",
  },
  stop_step: {
    namespace: "",
    fields: ["step", "done", "cause"],
    help:
      "A shutdown step ended; done is false if it timed out or failed, with the cause",
  },
  stopped: {
    namespace: "",
    fields: ["tookMs"],
    help: "Shutdown is complete",
  },
  store_history_lost: {
    namespace: "steering",
    fields: ["kind"],
    help:
      "The store compacted the history of a kind; all its objects are read again",
  },
  store_connection_silent: {
    namespace: "steering",
    fields: ["kind", "repeated"],
    help:
      "A waiting call to the store got no response while a new connection did; calls of the other kinds are repeated",
  },
  store_lost: {
    namespace: "steering",
    fields: ["kind", "code"],
    help: "The store does not respond for a kind of object",
  },
  store_outage_assessed: {
    namespace: "steering",
    fields: ["source", "lostMs", "upMs", "holdMs"],
    help:
      "Endpoints' entries may have expired in an outage of the store: by this instance's own failed calls, by the instances that watch the store for it, or by a peer that relayed a change (source), after lostMs. upMs is for how long this instance and its peers know the store to be up; missing entries are kept for holdMs, 0 if the store was up all the while",
  },
  store_regained: {
    namespace: "steering",
    fields: ["kind", "lostMs"],
    help: "The store responds again for a kind of object",
  },
  request_handler_failed: {
    namespace: "requests",
    fields: ["request", "cause", "answered"],
    help:
      "An internal error ended a request; its caller got a failure (answered), or the connection was closed as a response had begun. Other requests continue",
  },
  system_failed: {
    namespace: "",
    fields: ["system", "cause"],
    help: "A periodic task threw an error; the remaining tasks ran",
  },
  tls_reload_failed: {
    namespace: "tls",
    fields: ["file"],
    help:
      "A replaced certificate cannot be used; the previous one stays in use",
  },
  tls_reloaded: {
    namespace: "tls",
    fields: ["file"],
    help: "A replaced certificate is used for new connections",
  },
  zone_evacuated: {
    namespace: "steering",
    fields: ["zone"],
    help: "A zone was evacuated: its endpoints receive no new requests",
  },
  zone_restored: {
    namespace: "steering",
    fields: ["zone"],
    help: "A zone's evacuation ended: its endpoints receive requests again",
  },
};
