/**
 * Pipeline of one request: admission, attempts at endpoints, answer.
 *
 * @module
 */
import {
  type Clock,
  type Failure,
  failure,
  type FailureDetails,
} from "../core/mod.ts";
import type { SharedRetryBudget } from "../decisions/retries/mod.ts";
import type { StartGate } from "../decisions/starting/mod.ts";
import type { EndpointRow } from "../traffic/mod.ts";
import { type Admission, clientTimeoutOf } from "./admission.ts";
import type { EndpointChooser } from "./endpoint_chooser.ts";
import type { EndpointSender, Sending, SendResult } from "./endpoint_sender.ts";
import type { AccessLog } from "./access_log.ts";
import type { RequestCodec } from "./request_codec.ts";
import type { CallerRequest, RequestContext } from "./request_context.ts";

/** An endpoint's answer. */
type Answer = Extract<SendResult, { kind: "answer" }>;

/** What the caller is answered. */
export type FlowAnswer =
  | Answer
  | { readonly kind: "refusal"; readonly failure: Failure }
  /** The caller has gone; there is nobody to answer. */
  | { readonly kind: "gone" };

/** What the flow works with. */
export interface RequestFlowOptions {
  /** Open once the instance has a plan and the endpoints. */
  readonly gate: StartGate;
  readonly admission: Admission;
  readonly chooser: EndpointChooser;
  readonly sender: EndpointSender;
  readonly codec: RequestCodec;
  readonly retries: SharedRetryBudget;
  /** Instances that may be sending, this one included. */
  readonly fleetSize: () => number;
  readonly accessLog: AccessLog;
  readonly clock: Clock;
}

/** With less time left than this no endpoint can answer, in milliseconds. */
const LEAST_LEFT_MS = 5;
/** Statuses by which a caller is promised that its request did not run. */
const PROMISE_NOT_RUN: ReadonlySet<number> = new Set([408, 421, 429, 503]);

/** Serves requests at one instance. */
export class RequestFlow {
  readonly #opts: RequestFlowOptions;

  constructor(opts: RequestFlowOptions) {
    this.#opts = opts;
  }

  /** Serves a request; never throws. */
  async handle(req: CallerRequest): Promise<FlowAnswer> {
    const { gate, admission, retries, clock } = this.#opts;
    if (!gate.isOpen) {
      await gate.wait({
        clientTimeoutMs: clientTimeoutOf(req),
        signal: req.signal,
      });
    }
    if (req.signal.aborted) return { kind: "gone" };
    const admitted = admission.admit(req);
    if (admitted.isErr()) return this.#refuse(req, admitted.error);
    const ctx = admitted.value;
    retries.request(ctx.service, clock.now());
    return await this.#serve(ctx);
  }

  /** Sends the request to one endpoint after another until one answers. */
  async #serve(ctx: RequestContext): Promise<FlowAnswer> {
    const { clock, chooser } = this.#opts;
    for (;;) {
      const now = clock.now();
      if (ctx.req.signal.aborted) return this.#gone(ctx);
      if (ctx.deadline - now < LEAST_LEFT_MS) return this.#late(ctx);
      const chosen = chooser.choose(ctx, now);
      if (chosen.isErr()) {
        const { code, message, retryAfterMs } = chosen.error;
        return this.#unserved(ctx, code, message, retryAfterMs);
      }
      const result = await this.#send(ctx, chosen.value);
      const answer = this.#settle(ctx, chosen.value, result);
      if (answer !== undefined) return answer;
    }
  }

  async #send(ctx: RequestContext, endpoint: EndpointRow): Promise<SendResult> {
    const { clock, codec, sender, chooser, accessLog } = this.#opts;
    const { req, account, tried, deadline } = ctx;
    const sentAt = clock.now();
    tried.add(endpoint);
    chooser.sent(endpoint, sentAt);
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
    });
    const result = await this.#await(sending, ctx);
    const now = clock.now();
    chooser.learn(endpoint, result, { tookMs: now - sentAt, now });
    accessLog.tried(endpoint, now - sentAt);
    return result;
  }

  /** Waits for the result, the deadline, or the caller's leaving. */
  async #await(sending: Sending, ctx: RequestContext): Promise<SendResult> {
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

  /** The answer to the caller, or undefined where another endpoint is tried. */
  #settle(
    ctx: RequestContext,
    endpoint: EndpointRow,
    result: SendResult,
  ): FlowAnswer | undefined {
    switch (result.kind) {
      case "answer":
        return this.#settleAnswer(ctx, endpoint, result);
      case "unsent":
      case "not-run":
        if (this.#mayTryElsewhere(ctx)) return undefined;
        return this.#turnedAway(ctx, endpoint);
      case "unknown":
        ctx.mayHaveRun = true;
        if (this.#mayRepeat(ctx)) return undefined;
        return this.#failed(ctx, `the endpoint's answer is ${result.reason}`);
      case "cancelled":
        if (result.sent) ctx.mayHaveRun = true;
        return ctx.req.signal.aborted ? this.#gone(ctx) : this.#late(ctx);
    }
  }

  /** Passes an answer on, unless another endpoint may do better. */
  #settleAnswer(
    ctx: RequestContext,
    endpoint: EndpointRow,
    answer: Answer,
  ): FlowAnswer | undefined {
    const fault = faultOf(answer);
    if (answer.status < 500 && fault === undefined) {
      return this.#answered(ctx, endpoint, answer);
    }
    ctx.mayHaveRun = true;
    const again = this.#mayRepeat(ctx);
    if (!again && fault === undefined) {
      return this.#answered(ctx, endpoint, answer);
    }
    answer.body.rest?.cancel();
    return again ? undefined : this.#failed(ctx, fault ?? "it failed");
  }

  /** Whether a request that may have run can be sent to another endpoint. */
  #mayRepeat(ctx: RequestContext): boolean {
    return ctx.route.idempotent && this.#mayTryElsewhere(ctx);
  }

  #mayTryElsewhere(ctx: RequestContext): boolean {
    const { retries, clock, fleetSize } = this.#opts;
    const { tried, route, service, deadline } = ctx;
    if (tried.size >= route.maxAttempts) return false;
    const now = clock.now();
    if (deadline - now < LEAST_LEFT_MS) return false;
    return retries.take(service, { instances: fleetSize() }, now);
  }

  #answered(
    ctx: RequestContext,
    endpoint: EndpointRow,
    answer: Answer,
  ): FlowAnswer {
    this.#opts.accessLog.answered(ctx, endpoint, answer.status);
    return answer;
  }

  #gone(ctx: RequestContext): FlowAnswer {
    this.#opts.accessLog.gone(ctx);
    return { kind: "gone" };
  }

  /** The last endpoint did not run the request, and no other is tried. */
  #turnedAway(ctx: RequestContext, endpoint: EndpointRow): FlowAnswer {
    const { chooser, clock } = this.#opts;
    const retryAfterMs = chooser.shedRetryMs(ctx, endpoint, clock.now());
    const why = "the endpoints turned the request away";
    return this.#unserved(ctx, "no_capacity", why, retryAfterMs);
  }

  /** No endpoint takes the request; what is said of it is what is known. */
  #unserved(
    ctx: RequestContext,
    code: Failure["code"],
    why: string,
    retryAfterMs: number | undefined,
  ): FlowAnswer {
    if (ctx.mayHaveRun) return this.#failed(ctx, why);
    const details: FailureDetails = retryAfterMs === undefined
      ? { outcome: "not-run" }
      : { outcome: "not-run", retryAfterMs };
    return this.#refuse(ctx.req, failure(code, why, details), ctx);
  }

  #failed(ctx: RequestContext, why: string): FlowAnswer {
    const failed = failure("endpoint_failed", why, { outcome: "unknown" });
    return this.#refuse(ctx.req, failed, ctx);
  }

  #late(ctx: RequestContext): FlowAnswer {
    const outcome = ctx.mayHaveRun ? "unknown" : "not-run";
    const late = failure("deadline_exceeded", "the time is up", { outcome });
    return this.#refuse(ctx.req, late, ctx);
  }

  #refuse(req: CallerRequest, why: Failure, ctx?: RequestContext): FlowAnswer {
    this.#opts.accessLog.refused(req, why, ctx);
    return { kind: "refusal", failure: why };
  }
}

/** Why an answer cannot be passed on; undefined where it can. */
function faultOf({ status, fields }: Answer): string | undefined {
  if (status < 300 && !fields.signed) return "the answer is not signed";
  // The endpoint did not say that it did not run the request, so the caller
  // must not read that from the status.
  if (PROMISE_NOT_RUN.has(status)) return `the endpoint answered ${status}`;
  return undefined;
}
