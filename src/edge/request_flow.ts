/**
 * Pipeline of one request: admission, attempts at endpoints, response.
 *
 * @module
 */
import type { Result } from "neverthrow";
import { type Clock, fail, type Failure, failure } from "../core/mod.ts";
import type { LinkChecker } from "../decisions/links/mod.ts";
import type { StartGate } from "../decisions/starting/mod.ts";
import type { EndpointRow } from "../traffic/mod.ts";
import { type Admission, clientTimeoutOf } from "./admission.ts";
import type { EndpointChooser } from "./endpoint_chooser.ts";
import type { EndpointRetries, RetryReason } from "./endpoint_retries.ts";
import type { EndpointSignals } from "./endpoint_signals.ts";
import type {
  EndpointSender,
  PendingSend,
  SendResult,
} from "./endpoint_sender.ts";
import type { AccessLog } from "./access_log.ts";
import {
  type EndpointResponse,
  type FlowResult,
  hasArrived,
  invalidReason,
  NOT_RUN_STATUSES,
} from "./flow_result.ts";
import type { LateReads } from "./event_loop_lag.ts";
import { type Hop, readHopResponse, withoutHopFields } from "./hop_headers.ts";
import type { ForwardResult, PeerForwarder } from "./peer_forwarder.ts";
import { Refusals } from "./refusals.ts";
import { type StreamEnd, withDeadline } from "./remainder_deadline.ts";
import type { RequestCodec } from "./request_codec.ts";
import type { CallerRequest, RequestContext } from "./request_context.ts";

/** Dependencies of the flow. */
export interface RequestFlowOptions {
  /** Opens once the plan and the endpoints are loaded. */
  readonly gate: StartGate;
  readonly admission: Admission;
  readonly chooser: EndpointChooser;
  readonly signals: EndpointSignals;
  readonly links: LinkChecker<EndpointRow>;
  readonly forwarder: PeerForwarder;
  readonly sender: EndpointSender;
  readonly codec: RequestCodec;
  readonly retries: EndpointRetries;
  /** Version of the plan in force. */
  readonly planVersion: () => number;
  readonly accessLog: AccessLog;
  readonly reads: LateReads;
  readonly clock: Clock;
}

/** Minimum time left for an endpoint to respond, in milliseconds. */
const MIN_LEFT_MS = 5;
/** Retry delay while no endpoint can be reached, in milliseconds: one check. */
const LINKS_RETRY_MS = 500;
const CANNOT_TAKE_OVER = failure(
  "not_ready",
  "this instance cannot serve requests of others now",
  { outcome: "not-run" },
);

/** Serves the requests of one instance. */
export class RequestFlow {
  readonly #opts: RequestFlowOptions;
  readonly #refusals: Refusals;

  constructor(opts: RequestFlowOptions) {
    this.#opts = opts;
    this.#refusals = new Refusals(opts);
  }

  /** Serves a request; never throws. */
  async handle(req: CallerRequest): Promise<FlowResult> {
    const { gate, admission, retries } = this.#opts;
    if (req.hop !== undefined && !this.#takesOver(req.hop)) {
      return this.#refusals.refuse(req, CANNOT_TAKE_OVER);
    }
    if (!gate.isOpen) {
      await gate.wait({
        clientTimeoutMs: clientTimeoutOf(req),
        signal: req.signal,
      });
    }
    if (req.signal.aborted) return { kind: "gone" };
    const admitted = admission.admit(req);
    if (admitted.isErr()) return this.#refusals.refuse(req, admitted.error);
    const ctx = admitted.value;
    if (!this.#hasBudgetFor(ctx)) {
      return this.#refusals.refuse(req, CANNOT_TAKE_OVER, ctx);
    }
    // The instance that sends it to an endpoint counts it.
    if (!ctx.counted && !this.#goesToPeer(ctx)) {
      retries.request(ctx.service);
      ctx.counted = true;
    }
    return await this.#serve(ctx);
  }

  /**
   * Whether the budget allows what another instance passes on: if the plan has
   * moved it to another service since, its earlier attempts were paid elsewhere.
   */
  #hasBudgetFor({ req: { hop }, service, arrivals }: RequestContext): boolean {
    const isMoved = hop?.service !== undefined && hop.service !== service;
    if (!isMoved || arrivals === 0) return true;
    return this.#opts.retries.take(service, "peer");
  }

  /** Whether this instance can serve a request that another passes on. */
  #takesOver(hop: Hop): boolean {
    const { gate, links, planVersion } = this.#opts;
    return gate.isOpen && links.state === "up" &&
      planVersion() >= hop.planVersion;
  }

  /**
   * Whether a request is passed on: no endpoint can be reached or, while that is
   * being checked, it reached none of those tried.
   */
  #goesToPeer(ctx: RequestContext): boolean {
    const { links, forwarder } = this.#opts;
    const isUnsent = ctx.arrivals === 0 && ctx.tried.size > 0;
    const isLost = links.state === "down" || links.isDoubtful && isUnsent;
    return isLost && forwarder.canForward(ctx);
  }

  /** Tries endpoints one after another until there is a result. */
  async #serve(ctx: RequestContext): Promise<FlowResult> {
    const { clock, reads } = this.#opts;
    for (;;) {
      // The caller's close may be read after the result of the last attempt.
      if (reads.isLate) await reads.nextRead();
      const now = clock.now();
      if (ctx.req.signal.aborted) return this.#refusals.callerGone(ctx);
      if (ctx.deadline - now < MIN_LEFT_MS) return this.#refusals.expired(ctx);
      const chosen = this.#choose(ctx, now);
      if (chosen === "peer") {
        const outcome = await this.#forward(ctx);
        if (outcome !== undefined) return outcome;
        continue;
      }
      if (chosen.isErr()) {
        const { code, message, retryAfterMs } = chosen.error;
        return this.#refusals.unserved(ctx, code, message, retryAfterMs);
      }
      const result = await this.#send(ctx, chosen.value);
      if (result === "resend") continue;
      const outcome = this.#handleResult(ctx, chosen.value, result);
      if (outcome !== undefined) return outcome;
    }
  }

  /** Selects an endpoint that can be reached, or another instance. */
  #choose(
    ctx: RequestContext,
    now: number,
  ): Result<EndpointRow, Failure> | "peer" {
    const { links, chooser, forwarder, sender } = this.#opts;
    if (this.#goesToPeer(ctx)) return "peer";
    switch (links.state) {
      case "up":
        return chooser.choose(ctx, now);
      case "down":
        return fail("no_endpoint", "this instance reaches no endpoint", {
          retryAfterMs: LINKS_RETRY_MS,
        });
      case "reused-only": {
        // Another endpoint with an open connection may lack the affinity key.
        const chosen = chooser.choose(ctx, now);
        const isOpen = chosen.isOk() && sender.hasIdle(chosen.value);
        return isOpen || !forwarder.canForward(ctx) ? chosen : "peer";
      }
    }
  }

  /** Passes a request on; undefined if another attempt is to be made. */
  async #forward(ctx: RequestContext): Promise<FlowResult | undefined> {
    const { forwarder } = this.#opts;
    const result = await forwarder.forward(
      ctx,
      (start) => this.#sendToPeer(ctx, start),
    );
    switch (result.kind) {
      case "answer":
        return this.#handlePeerAnswer(ctx, result);
      case "no-peer":
        return undefined;
      case "unknown":
        this.#mayHaveArrived(ctx);
        // The peer may have counted it.
        ctx.counted = true;
        if (this.#takeRetryIfIdempotent(ctx, "peer")) return undefined;
        return this.#refusals.failed(
          ctx,
          `the connection to instance ${result.peer} broke`,
        );
      case "cancelled":
        if (result.sent) this.#mayHaveArrived(ctx);
        return ctx.req.signal.aborted
          ? this.#refusals.callerGone(ctx)
          : this.#refusals.expired(ctx);
    }
  }

  async #sendToPeer(
    ctx: RequestContext,
    start: () => PendingSend,
  ): Promise<SendResult> {
    const { reads } = this.#opts;
    if (reads.isLate) await reads.nextRead();
    if (ctx.req.signal.aborted) return { kind: "cancelled", sent: false };
    return await this.#awaitResult(start(), ctx);
  }

  #handlePeerAnswer(
    ctx: RequestContext,
    { peer, answer }: Extract<ForwardResult, { kind: "answer" }>,
  ): FlowResult {
    const { signals, accessLog } = this.#opts;
    const { endpoint, ...hop } = readHopResponse(answer.headers);
    const endsWithConnection = hop.endsWithConnection ||
      answer.body.endsWithConnection === true;
    const notRun = NOT_RUN_STATUSES.has(answer.status);
    if (notRun && ctx.mayHaveRun) {
      answer.body.remainder?.cancel();
      return this.#refusals.failed(ctx, "another instance could not retry it");
    }
    if (endpoint !== undefined) signals.passedOn(endpoint, answer.fields);
    accessLog.passedOn(ctx, { peer, endpoint, status: answer.status });
    const limited = this.#withDeadline(ctx, answer);
    return {
      ...limited,
      headers: withoutHopFields(answer.headers),
      body: { ...limited.body, endsWithConnection },
    };
  }

  /** Records that an attempt may have reached an endpoint and run there. */
  #mayHaveArrived(ctx: RequestContext): void {
    ctx.arrivals++;
    ctx.mayHaveRun = true;
  }

  /**
   * Sends a request to an endpoint; `resend` if the link was lost meanwhile, and
   * another attempt is allowed.
   */
  async #send(
    ctx: RequestContext,
    endpoint: EndpointRow,
  ): Promise<SendResult | "resend"> {
    const {
      clock,
      codec,
      sender,
      chooser,
      signals,
      accessLog,
      links,
      retries,
    } = this.#opts;
    const { req, account, tried, deadline } = ctx;
    const sentAt = clock.now();
    tried.add(endpoint);
    chooser.sent(endpoint, sentAt);
    const isLimited = signals.isLimited(endpoint);
    const sending = sender.send(endpoint, {
      method: req.method,
      path: req.fields.path,
      headers: codec.endpointHeaders(req.headers, {
        endpoint: endpoint.id,
        account: account?.id,
        leftMs: Math.max(1, Math.floor(deadline - sentAt)),
      }),
      body: req.body,
      requestId: req.fields.requestId,
      maySend: () =>
        signals.accepts(endpoint, clock.now()) &&
        (isLimited || !signals.withholdsUnlimited(endpoint)),
      mayConnect: () => this.#mayConnect(ctx),
      mayBuffer: req.mayBuffer,
      onHead: (fields) => signals.received(endpoint, fields),
    });
    let isLinkLost = false;
    const linkListener = links.onDown(() => {
      if (!this.#takeRetryIfIdempotent(ctx, "link")) return;
      isLinkLost = true;
      sending.cancel();
    });
    const result = await this.#awaitResult(sending, ctx);
    linkListener.close();
    const now = clock.now();
    chooser.recordResult(endpoint, result, { tookMs: now - sentAt, now });
    if (hasArrived(result)) {
      if (ctx.arrivals > 0) retries.arrived(ctx.service, ctx.lastRetry);
      ctx.arrivals++;
    }
    if (result.kind === "withheld") tried.delete(endpoint);
    else accessLog.tried(ctx, endpoint, { result, tookMs: now - sentAt });
    if (!isLinkLost || result.kind !== "cancelled") return result;
    if (result.sent) ctx.mayHaveRun = true;
    return "resend";
  }

  /** Whether a new connection may work, or nobody else serves the request. */
  #mayConnect(ctx: RequestContext): boolean {
    const { links, forwarder } = this.#opts;
    return links.state === "up" || !forwarder.canForward(ctx);
  }

  /** Waits for the result; cancels at the deadline or on disconnect. */
  async #awaitResult(
    sending: PendingSend,
    ctx: RequestContext,
  ): Promise<SendResult> {
    const { clock } = this.#opts;
    const { signal } = ctx.req;
    const cancel = () => sending.cancel();
    const timer = clock.after(Math.max(0, ctx.deadline - clock.now()), cancel);
    signal.addEventListener("abort", cancel, { once: true });
    const result = await sending.result;
    timer.close();
    signal.removeEventListener("abort", cancel);
    return result;
  }

  /** The result for the caller; undefined if another endpoint is to be tried. */
  #handleResult(
    ctx: RequestContext,
    endpoint: EndpointRow,
    result: SendResult,
  ): FlowResult | undefined {
    switch (result.kind) {
      case "withheld":
        return undefined;
      case "answer":
        return this.#handleResponse(ctx, endpoint, result);
      case "unsent":
        // Nothing was sent, so that another instance spends no retry.
        if (ctx.arrivals === 0 && this.#goesToPeer(ctx)) return undefined;
        if (this.#takeRetry(ctx, "unreachable")) return undefined;
        return this.#refusals.shed(ctx, endpoint);
      case "not-run":
        if (this.#takeRetry(ctx, "shed")) return undefined;
        return this.#refusals.shed(ctx, endpoint);
      case "unknown":
        ctx.mayHaveRun = true;
        if (this.#takeRetryIfIdempotent(ctx, "lost")) return undefined;
        return this.#refusals.failed(
          ctx,
          `the endpoint's answer is ${result.reason}`,
        );
      case "cancelled":
        if (result.sent) ctx.mayHaveRun = true;
        return ctx.req.signal.aborted
          ? this.#refusals.callerGone(ctx)
          : this.#refusals.expired(ctx);
    }
  }

  /** Passes a response on, unless it is invalid or failed and can be retried. */
  #handleResponse(
    ctx: RequestContext,
    endpoint: EndpointRow,
    response: EndpointResponse,
  ): FlowResult | undefined {
    const invalid = invalidReason(response);
    if (response.status < 500 && invalid === undefined) {
      return this.#passOn(ctx, endpoint, response);
    }
    ctx.mayHaveRun = true;
    const reason = invalid === undefined ? "failed" : "lost";
    const retry = this.#takeRetryIfIdempotent(ctx, reason);
    if (!retry && invalid === undefined) {
      return this.#passOn(ctx, endpoint, response);
    }
    response.body.remainder?.cancel();
    return retry
      ? undefined
      : this.#refusals.failed(ctx, invalid ?? "the endpoint failed");
  }

  /** Takes a retry for a request that may have run. */
  #takeRetryIfIdempotent(ctx: RequestContext, reason: RetryReason): boolean {
    return ctx.route.idempotent && this.#takeRetry(ctx, reason);
  }

  /**
   * Takes a retry if attempts, the deadline and the retry budget allow one. A
   * request that no endpoint may have received spends none.
   */
  #takeRetry(ctx: RequestContext, reason: RetryReason): boolean {
    const { retries, clock } = this.#opts;
    const { tried, arrivals, route, service, deadline } = ctx;
    if (Math.max(tried.size, arrivals) >= route.maxAttempts) return false;
    if (deadline - clock.now() < MIN_LEFT_MS) return false;
    const wasUnsent = reason === "unreachable" && arrivals === 0;
    if (!wasUnsent && !retries.take(service, reason)) return false;
    ctx.lastRetry = { reason, decidedAt: clock.now() };
    return true;
  }

  #passOn(
    ctx: RequestContext,
    endpoint: EndpointRow,
    response: EndpointResponse,
  ): FlowResult {
    const { accessLog, chooser, signals, clock } = this.#opts;
    accessLog.answered(ctx, endpoint, response);
    signals.passedOn(endpoint.id, response.fields);
    const limited = this.#withDeadline(ctx, response, (end) => {
      chooser.recordStreamEnd(endpoint, response, { end, now: clock.now() });
    });
    return { ...limited, endpoint: endpoint.id };
  }

  /** Applies the request's deadline to the streamed part of a response. */
  #withDeadline(
    ctx: RequestContext,
    response: EndpointResponse,
    onEnd?: (end: StreamEnd) => void,
  ): EndpointResponse {
    const { remainder } = response.body;
    if (remainder === undefined) return response;
    const { clock, accessLog } = this.#opts;
    const limited = withDeadline(remainder, {
      leftMs: ctx.deadline - clock.now(),
      clock,
      onEnd: (end) => {
        if (end === "late" || end === "unread") accessLog.streamExpired(ctx);
        onEnd?.(end);
      },
    });
    return { ...response, body: { ...response.body, remainder: limited } };
  }
}
