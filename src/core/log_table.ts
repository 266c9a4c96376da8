/**
 * Every log event by name; docs/LOGS.md is made from this table, and a test
 * holds it against the names and fields used in the code.
 *
 * @module
 */

/** What an event is. */
export interface LogEntry {
  /** Under `magnoliahook:`; none for the namespace itself. */
  readonly namespace: string;
  readonly fields: readonly string[];
  readonly help: string;
}

/** What is said of a request's way, however it ended. */
const WAY_FIELDS = [
  "request",
  "route",
  "account",
  "service",
  "plan",
  "tries",
  "tried",
  "chosenBy",
  "leftMs",
] as const;

/** Every event. */
export const LOG_TABLE: Readonly<Record<string, LogEntry>> = {
  budget_suspended: {
    namespace: "budgets",
    fields: ["account", "reason"],
    help:
      "A fault of the program: what this instance holds of an account's rate passes the whole, so it gives none of it out until it fits",
  },
  burn_write_failed: {
    namespace: "burn",
    fields: ["code"],
    help: "A summary of burn counts was not written; the next brings it",
  },
  datagram_too_long: {
    namespace: "fleet",
    fields: ["sort", "bytes"],
    help:
      "A datagram to other instances is longer than any may be and was not sent; logged once",
  },
  digest_rejected: {
    namespace: "fleet",
    fields: ["reason"],
    help: "The first datagram that was no digest; further ones are not logged",
  },
  document_in_force: {
    namespace: "document",
    fields: ["generation", "rejected"],
    help: "A generation came in force; rejected counts what of it did not",
  },
  document_load_failed: {
    namespace: "document",
    fields: ["code"],
    help: "A section's content could not be had",
  },
  document_rejected: {
    namespace: "document",
    fields: ["generation"],
    help: "A generation cannot be put in force here at all",
  },
  document_watch_failed: {
    namespace: "document",
    fields: ["code"],
    help: "The manifest could not be watched; polling goes on",
  },
  endpoint_changed: {
    namespace: "steering",
    fields: ["endpoint", "service", "zone", "draining", "coldMs"],
    help: "An endpoint registered, started anew, began to drain or turned cold",
  },
  endpoint_limit_changed: {
    namespace: "steering",
    fields: ["endpoint", "ratePerS", "source"],
    help:
      "The requests a second that an endpoint takes from all instances; without ratePerS it takes what comes. Source is answer, end, or the group of instances that reported it",
  },
  endpoint_limit_unreadable: {
    namespace: "steering",
    fields: ["endpoint"],
    help:
      "An endpoint's limit is no rate; what was known of it holds. Logged once until it can be read",
  },
  endpoint_removed: {
    namespace: "steering",
    fields: ["endpoint", "reason"],
    help:
      "An endpoint is used no more; lapsed means that its entry stayed away after the store was back",
  },
  endpoint_unreadable: {
    namespace: "steering",
    fields: ["endpoint"],
    help: "An entry that names no endpoint to use",
  },
  instance_started: {
    namespace: "",
    fields: ["instance"],
    help: "The listeners are open and the first document was looked for",
  },
  instances_listed: {
    namespace: "fleet",
    fields: ["instances"],
    help: "This instance is on the list of instances and has read it",
  },
  instances_unlisted: {
    namespace: "fleet",
    fields: ["code"],
    help:
      "The list of instances could not be written or read; it is tried again",
  },
  kind_fetched: {
    namespace: "steering",
    fields: ["kind", "revision"],
    help: "What was missing of a kind of object was had from another instance",
  },
  lines_left_out: {
    namespace: "",
    fields: ["lines"],
    help: "Lines that the last second left out, to bound the volume",
  },
  operations_handed_over: {
    namespace: "operations",
    fields: ["heir"],
    help: "At a stop, the ledger went to another instance",
  },
  peer_removed: {
    namespace: "fleet",
    fields: ["peer"],
    help: "An unreachable instance is taken to have ended",
  },
  peer_unavailable: {
    namespace: "peers",
    fields: ["peer"],
    help: "An exchange with another instance failed",
  },
  peer_unreachable: {
    namespace: "fleet",
    fields: ["peer"],
    help: "An instance is not heard; callers are not sent there",
  },
  roles_changed: {
    namespace: "fleet",
    fields: ["relay", "storeWatcher"],
    help:
      "Whether this instance relays for its zone and watches the store for it",
  },
  plan_in_force: {
    namespace: "steering",
    fields: ["plan", "routes", "accounts"],
    help: "A plan came in force",
  },
  plan_missing: {
    namespace: "steering",
    fields: ["name", "plan"],
    help: "The plan was taken away; the last one stays in force",
  },
  plan_unreadable: {
    namespace: "steering",
    fields: ["name"],
    help: "A plan that cannot be read; the last one stays in force",
  },
  request_answered: {
    namespace: "requests",
    fields: [
      ...WAY_FIELDS,
      "endpoint",
      "status",
      "tookMs",
    ],
    help: "A request was answered by an endpoint; one in 64 by its id",
  },
  request_refused: {
    namespace: "requests",
    fields: [
      ...WAY_FIELDS,
      "code",
      "outcome",
      "reason",
      "retryAfterMs",
      "tookMs",
    ],
    help: "A request was refused or failed",
  },
  seat_taken_over: {
    namespace: "seats",
    fields: ["index"],
    help: "A silent instance's seat was taken over",
  },
  seats_store_failed: {
    namespace: "seats",
    fields: ["code"],
    help: "The zone's seat table could not be read or written",
  },
  settings_reloaded: {
    namespace: "",
    fields: ["graceMs", "retryRatio", "retrySlack"],
    help: "Changed settings were read and are in force",
  },
  settings_unreadable: {
    namespace: "",
    fields: ["reason"],
    help: "Changed settings cannot be read; the ones before stay in force",
  },
  stop_begun: {
    namespace: "",
    fields: ["graceMs"],
    help: "The stop began",
  },
  stop_step: {
    namespace: "",
    fields: ["step", "done"],
    help: "A step of the stop has ended; not done means it took too long",
  },
  stopped: {
    namespace: "",
    fields: ["tookMs"],
    help: "The stop has ended",
  },
  store_history_lost: {
    namespace: "steering",
    fields: ["kind"],
    help: "The store dropped the history of a kind; all of it is read again",
  },
  store_lost: {
    namespace: "steering",
    fields: ["kind", "code"],
    help: "The store does not answer for a kind of object",
  },
  store_regained: {
    namespace: "steering",
    fields: ["kind", "lostMs"],
    help: "The store answers again for a kind of object",
  },
  request_handler_failed: {
    namespace: "requests",
    fields: ["cause"],
    help:
      "A fault of the program ended a request; its connection was closed, the others go on",
  },
  system_failed: {
    namespace: "",
    fields: ["system", "cause"],
    help: "A system threw in its tick; the others went on",
  },
  tls_reload_failed: {
    namespace: "tls",
    fields: ["file"],
    help: "A replaced certificate cannot be used; the old one stays",
  },
  tls_reloaded: {
    namespace: "tls",
    fields: ["file"],
    help: "A replaced certificate holds for new connections",
  },
  zone_evacuated: {
    namespace: "steering",
    fields: ["zone"],
    help: "A zone's endpoints get no new requests",
  },
  zone_restored: {
    namespace: "steering",
    fields: ["zone"],
    help: "A zone's endpoints get requests again",
  },
};
