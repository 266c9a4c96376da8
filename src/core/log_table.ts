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

/** Every event. */
export const LOG_TABLE: Readonly<Record<string, LogEntry>> = {
  burn_write_failed: {
    namespace: "burn",
    fields: ["code"],
    help: "A summary of burn counts was not written; the next brings it",
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
  instance_started: {
    namespace: "",
    fields: ["instance"],
    help: "The listeners are open and the first document was looked for",
  },
  operations_handed_over: {
    namespace: "operations",
    fields: ["heir"],
    help: "At a stop, the ledger went to another instance",
  },
  peer_unavailable: {
    namespace: "peers",
    fields: ["peer"],
    help: "An exchange with another instance failed",
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
  stop_step: {
    namespace: "",
    fields: ["step", "done"],
    help: "A step of the stop has ended; not done means it took too long",
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
};
