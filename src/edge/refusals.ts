/**
 * Results for callers whose requests get no response of an endpoint.
 *
 * @module
 */
import {
  type Clock,
  type Failure,
  failure,
  type FailureDetails,
} from "../core/mod.ts";
import type { EndpointRow } from "../traffic/mod.ts";
import type { AccessLog } from "./access_log.ts";
import type { EndpointChooser } from "./endpoint_chooser.ts";
import type { FlowResult } from "./flow_result.ts";
import type { CallerRequest, RequestContext } from "./request_context.ts";

/** Dependencies of the refusals. */
export interface RefusalsOptions {
  readonly chooser: EndpointChooser;
  readonly accessLog: AccessLog;
  readonly clock: Clock;
}

/** Refuses requests and records that. */
export class Refusals {
  readonly #opts: RefusalsOptions;

  constructor(opts: RefusalsOptions) {
    this.#opts = opts;
  }

  callerGone(ctx: RequestContext): FlowResult {
    this.#opts.accessLog.gone(ctx);
    return { kind: "gone" };
  }

  /** Refuses a request that the last endpoint shed or did not receive. */
  shed(ctx: RequestContext, endpoint: EndpointRow): FlowResult {
    const { chooser, clock } = this.#opts;
    const retryAfterMs = chooser.retryAfterShedMs(ctx, endpoint, clock.now());
    const why = "the endpoints tried did not take the request";
    return this.unserved(ctx, "no_capacity", why, retryAfterMs);
  }

  /** Refuses a request; its outcome is unknown if an endpoint may have run it. */
  unserved(
    ctx: RequestContext,
    code: Failure["code"],
    why: string,
    retryAfterMs: number | undefined,
  ): FlowResult {
    if (ctx.mayHaveRun) return this.failed(ctx, why);
    const details: FailureDetails = retryAfterMs === undefined
      ? { outcome: "not-run" }
      : { outcome: "not-run", retryAfterMs };
    return this.refuse(ctx.req, failure(code, why, details), ctx);
  }

  failed(ctx: RequestContext, why: string): FlowResult {
    const failed = failure("endpoint_failed", why, { outcome: "unknown" });
    return this.refuse(ctx.req, failed, ctx);
  }

  expired(ctx: RequestContext): FlowResult {
    const outcome = ctx.mayHaveRun ? "unknown" : "not-run";
    const expired = failure("deadline_exceeded", "the deadline has passed", {
      outcome,
    });
    return this.refuse(ctx.req, expired, ctx);
  }

  refuse(req: CallerRequest, why: Failure, ctx?: RequestContext): FlowResult {
    this.#opts.accessLog.refused(req, why, ctx);
    return { kind: "refusal", failure: why };
  }
}
