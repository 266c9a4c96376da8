/**
 * Access log and request metrics.
 *
 * @module
 */
import {
  type Clock,
  CONNECT_TIMED_OUT,
  type EndpointId,
  type Failure,
  type InstanceId,
  isSampled,
  type Log,
  type LogFields,
  type Metrics,
} from "../core/mod.ts";
import type { EndpointRow } from "../traffic/mod.ts";
import type { SendResult } from "./endpoint_sender.ts";
import type { EndpointResponse } from "./flow_result.ts";
import type { CallerRequest, RequestContext } from "./request_context.ts";

/** Logs and counts completed requests of one instance. */
export class AccessLog {
  readonly #clock: Clock;
  readonly #log: Log;
  readonly #metrics: Metrics;
  readonly #planVersion: () => number;
  readonly #limitOf: (endpoint: EndpointId) => number | undefined;

  /**
   * @param opts `planVersion` is that of the plan in force; 0 before any.
   * `limitOf` returns an endpoint's limit in requests a second, if it has one.
   */
  constructor(
    opts: {
      readonly clock: Clock;
      readonly log: Log;
      readonly metrics: Metrics;
      readonly planVersion: () => number;
      readonly limitOf: (endpoint: EndpointId) => number | undefined;
    },
  ) {
    const { clock, log, metrics, planVersion, limitOf } = opts;
    this.#planVersion = planVersion;
    this.#limitOf = limitOf;
    this.#clock = clock;
    this.#log = log;
    this.#metrics = metrics;
  }

  /** Records an endpoint's response that is passed on to the caller. */
  answered(
    ctx: RequestContext,
    endpoint: EndpointRow,
    { status, body }: EndpointResponse,
  ): void {
    if (body.endsWithConnection === true) {
      const { service } = ctx;
      this.#metrics.count("response.without_length", { service });
    }
    const result = status < 500 ? "answered" : "endpoint_error";
    this.#responded(ctx, result, { endpoint: endpoint.id, status });
  }

  /** Records a response that another instance passed on or made. */
  passedOn(
    ctx: RequestContext,
    by: {
      readonly peer: InstanceId;
      readonly endpoint: EndpointId | undefined;
      readonly status: number;
    },
  ): void {
    const result = by.status < 500 ? "answered_by_peer" : "failed_at_peer";
    this.#responded(ctx, result, by);
  }

  /** Records a refusal or failure; without a context, one before admission. */
  refused(req: CallerRequest, why: Failure, ctx?: RequestContext): void {
    const tookMs = this.#clock.now() - req.arrivedAt;
    const service = ctx?.service ?? "none";
    this.#metrics.count("requests", { service, result: why.code });
    this.#metrics.timing("refusal.duration", tookMs);
    this.#log.event("request_refused", {
      ...(ctx === undefined
        ? { request: req.fields.requestId, plan: this.#planVersion() }
        : this.#requestFields(ctx)),
      code: why.code,
      outcome: why.outcome,
      reason: why.message,
      retryAfterMs: why.retryAfterMs === undefined
        ? undefined
        : Math.round(why.retryAfterMs),
      tookMs: Math.round(tookMs),
    });
  }

  /** Records that the deadline passed while a response was streamed. */
  streamExpired(ctx: RequestContext): void {
    const { service } = ctx;
    this.#metrics.count("response.expired", { service });
    this.#log.event("response_expired", {
      ...this.#requestFields(ctx),
      tookMs: Math.round(this.#clock.now() - ctx.req.arrivedAt),
    });
  }

  /** Records that the caller disconnected before the response. */
  gone(ctx: RequestContext): void {
    const { service } = ctx;
    this.#metrics.count("requests", { service, result: "caller_gone" });
  }

  /** Records a completed attempt at an endpoint. */
  tried(
    ctx: RequestContext,
    endpoint: EndpointRow,
    opts: { readonly result: SendResult; readonly tookMs: number },
  ): void {
    const { service } = endpoint.record;
    this.#metrics.timing("endpoint.duration", opts.tookMs, { service });
    const result = attemptResult(opts.result);
    this.#metrics.count("endpoint.attempts", { service, result });
    if (opts.result.kind !== "not-run" || opts.result.moved) return;
    const attempt = ctx.tried.size > 1 ? "retry" : "first";
    this.#metrics.count("endpoint.shed", { endpoint: endpoint.id, attempt });
  }

  /** Counts a response, and logs a failure or a sample. */
  #responded(
    ctx: RequestContext,
    result: string,
    by: {
      readonly endpoint: EndpointId | undefined;
      readonly peer?: InstanceId;
      readonly status: number;
    },
  ): void {
    const tookMs = this.#clock.now() - ctx.req.arrivedAt;
    const { service } = ctx;
    this.#metrics.count("requests", { service, result });
    this.#metrics.timing("request.duration", tookMs, { service });
    if (by.status < 500 && !isSampled(ctx.req.fields.requestId)) return;
    this.#log.event("request_answered", {
      ...this.#requestFields(ctx),
      endpoint: by.endpoint,
      peer: by.peer,
      status: by.status,
      tookMs: Math.round(tookMs),
    });
  }

  /** Log fields of a request, its route and its attempts. */
  #requestFields(ctx: RequestContext): LogFields {
    const { req, route, account, service, planVersion, tried } = ctx;
    return {
      request: req.fields.requestId,
      route: route.name,
      account: account?.id,
      service,
      plan: planVersion,
      tries: tried.size,
      tried: [...tried].map((row) => this.#describeEndpoint(row)).join(
        " ",
      ),
      chosenBy: ctx.chosenBy,
      peers: [...ctx.peersTried].join(" ") || undefined,
      passedOnBy: req.hop?.from,
      leftMs: Math.round(ctx.deadline - this.#clock.now()),
    };
  }

  /** An endpoint with its load, its limit and the age of its load report. */
  #describeEndpoint(row: EndpointRow): string {
    const { id, inFlight, peersInFlight, reportedAt } = row;
    const parts = [`${inFlight}+${peersInFlight}/${row.record.slots}`];
    if (row.report !== undefined) {
      parts.push(`${Math.round(this.#clock.now() - reportedAt)}ms`);
      const { hostSlowdown } = row.report;
      if (hostSlowdown !== undefined) parts.push(`host x${hostSlowdown}`);
    }
    const limitPerS = this.#limitOf(id);
    if (limitPerS !== undefined) parts.push(`${limitPerS}/s`);
    return `${id}(${parts.join(",")})`;
  }
}

/** The result of an attempt, as a tag of metrics. */
function attemptResult(result: SendResult): string {
  switch (result.kind) {
    case "unsent":
      return result.reason === CONNECT_TIMED_OUT
        ? "connect_timeout"
        : "connect_failed";
    case "unknown":
      return result.reason;
    case "cancelled":
      return result.sent ? "unanswered" : "unsent";
    default:
      return result.kind;
  }
}
