/**
 * Reports header fields of endpoints' responses that this version does not read.
 *
 * @module
 */
import type { Log, Metrics } from "../core/mod.ts";

/** Names reported; an endpoint could send ever new ones. */
const MAX_NAMES = 32;
/** Length to which names are cut in logs and metrics. */
const MAX_NAME_LENGTH = 64;
/** Metric tag for names beyond the maximum. */
const OTHER = "other";

/** Logs each unread field once, and counts the responses that have it. */
export class UnreadFields {
  readonly #log: Log;
  readonly #metrics: Metrics;
  readonly #names = new Set<string>();

  constructor(log: Log, metrics: Metrics) {
    this.#log = log;
    this.#metrics = metrics;
  }

  /** Records the unread fields of one response, by their lower-case names. */
  record(names: readonly string[]): void {
    for (const name of names) {
      const field = this.#reportOnce(name.slice(0, MAX_NAME_LENGTH));
      this.#metrics.count("endpoint.field_unread", { field });
    }
  }

  /** Logs a new name; returns the name to count it under. */
  #reportOnce(field: string): string {
    if (this.#names.has(field)) return field;
    if (this.#names.size >= MAX_NAMES) return OTHER;
    this.#names.add(field);
    this.#log.event("endpoint_field_unread", { field });
    return field;
  }
}
