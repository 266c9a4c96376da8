/**
 * What endpoints state about themselves in the header fields of their responses.
 *
 * @module
 */
import type { Clock, EndpointId, Log, Metrics } from "../core/mod.ts";
import { EndpointBackoff } from "../decisions/placement/mod.ts";
import type { EndpointRow, EndpointTable } from "../traffic/mod.ts";
import type { EndpointLimits } from "./endpoint_limits.ts";
import type { ResponseFields } from "./request_codec.ts";
import { UnreadFields } from "./unread_fields.ts";

/** Dependencies of the signals. */
export interface EndpointSignalsOptions {
  readonly endpoints: EndpointTable;
  readonly limits: EndpointLimits;
  readonly clock: Clock;
  readonly log: Log;
  readonly metrics: Metrics;
}

/** Applies the fields of endpoints' responses at one instance. */
export class EndpointSignals {
  readonly #opts: EndpointSignalsOptions;
  readonly #unread: UnreadFields;
  readonly #backoff = new EndpointBackoff();
  /** Endpoints whose last Retry-After could not be parsed. */
  readonly #unreadable = new Set<EndpointId>();

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
    this.#applyRetryAfter(row, fields, now);
    if (fields.leaving) this.#applyLeaving(row, now);
  }

  /** Applies the header of a response that callers get, also through peers. */
  passedOn(id: EndpointId, fields: ResponseFields): void {
    const { endpoints, limits, clock } = this.#opts;
    const row = endpoints.get(id);
    if (row === undefined) return;
    if (fields.limit.kind === "limited") limits.passedOn(id);
    if (fields.leaving) this.#applyLeaving(row, clock.now());
  }

  /** Whether an endpoint accepts requests from this instance now. */
  accepts(row: EndpointRow, now: number): boolean {
    return !row.leaving && this.#backoff.leftMs(row, now) === 0;
  }

  /** Whether an endpoint announces a limit, as this instance knows. */
  isLimited({ id }: EndpointRow): boolean {
    return this.#opts.limits.limitOf(id) !== undefined;
  }

  /**
   * Whether an endpoint announces a limit now, for a request that was placed
   * without one: the limit has not admitted it.
   */
  withholdsUnlimited({ id }: EndpointRow): boolean {
    return this.#opts.limits.withholdsUnlimited(id);
  }

  /**
   * How long until one of the endpoints accepts requests, in milliseconds; 0 if
   * one does now.
   */
  acceptsInMs(rows: readonly EndpointRow[], now: number): number {
    return Math.min(...rows.map((row) => this.#backoff.leftMs(row, now)));
  }

  /** Applies that an endpoint's entry is gone, or shows another start. */
  remove(row: EndpointRow): void {
    this.#unreadable.delete(row.id);
    const { limits, clock } = this.#opts;
    this.#backoff.removed(row, clock.now());
    limits.remove(row);
  }

  /** A refusal may omit the limit; only another response without one lifts it. */
  #applyLimit(row: EndpointRow, fields: ResponseFields, now: number): void {
    const { limit, notRun } = fields;
    if (notRun && limit.kind === "none") return;
    this.#opts.limits.answered(row, limit, now);
  }

  #applyLeaving(row: EndpointRow, now: number): void {
    const { endpoints, log } = this.#opts;
    if (!endpoints.markLeaving(row, now)) return;
    log.event("endpoint_leaving", { endpoint: row.id });
  }

  #applyRetryAfter(
    row: EndpointRow,
    { retryAfter }: ResponseFields,
    now: number,
  ): void {
    const { id: endpoint } = row;
    const { log, metrics } = this.#opts;
    if (retryAfter.kind === "unreadable") return this.#logUnreadable(endpoint);
    if (retryAfter.kind === "none") return;
    this.#unreadable.delete(endpoint);
    const { ms } = retryAfter;
    if (ms === 0) return;
    metrics.count("endpoint.backoff", { endpoint });
    if (!this.#backoff.start(row, ms, now)) return;
    log.event("endpoint_backoff", { endpoint, ms: Math.round(ms) });
  }

  #logUnreadable(endpoint: EndpointId): void {
    if (this.#unreadable.has(endpoint)) return;
    this.#unreadable.add(endpoint);
    this.#opts.log.event("endpoint_backoff_unreadable", { endpoint });
  }
}
