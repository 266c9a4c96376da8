/**
 * What endpoints state about themselves in the header fields of their responses.
 *
 * @module
 */
import type { Clock, Log, Metrics } from "../core/mod.ts";
import type { EndpointRow } from "../traffic/mod.ts";
import type { EndpointLimits } from "./endpoint_limits.ts";
import type { ResponseFields } from "./request_codec.ts";
import { UnreadFields } from "./unread_fields.ts";

/** Dependencies of the signals. */
export interface EndpointSignalsOptions {
  readonly limits: EndpointLimits;
  readonly clock: Clock;
  readonly log: Log;
  readonly metrics: Metrics;
}

/** Applies the fields of endpoints' responses at one instance. */
export class EndpointSignals {
  readonly #opts: EndpointSignalsOptions;
  readonly #unread: UnreadFields;

  constructor(opts: EndpointSignalsOptions) {
    this.#opts = opts;
    this.#unread = new UnreadFields(opts.log, opts.metrics);
  }

  /**
   * Applies the header of a response when it arrives; its body may take much
   * longer. The response of another endpoint at the same address is ignored.
   */
  received(row: EndpointRow, fields: ResponseFields): void {
    if (fields.moved) return;
    const now = this.#opts.clock.now();
    this.#unread.record(fields.unread);
    if (fields.load !== undefined) row.applyReport(fields.load, now);
    this.#applyLimit(row, fields, now);
  }

  /** A refusal may omit the limit; only another response without one lifts it. */
  #applyLimit(row: EndpointRow, fields: ResponseFields, now: number): void {
    const { limit, notRun } = fields;
    if (notRun && limit.kind === "none") return;
    this.#opts.limits.answered(row, limit, now);
  }
}
