/**
 * Limits of endpoints at one instance: learned from answers, logged and counted.
 *
 * @module
 */
import type { Clock, EndpointId, Log, Metrics } from "../core/mod.ts";
import {
  LimitRegister,
  type ObservedLimit,
} from "../decisions/endpoint_limits/mod.ts";
import type { EndpointRow } from "../traffic/mod.ts";
import type { AnswerLimit } from "./request_codec.ts";

/** What limits are kept with. */
export interface EndpointLimitsOptions {
  readonly clock: Clock;
  readonly log: Log;
  readonly metrics: Metrics;
}

/** Limits of endpoints as one instance knows them. */
export class EndpointLimits {
  readonly #opts: EndpointLimitsOptions;
  readonly #register = new LimitRegister();
  readonly #unreadable = new Set<EndpointId>();

  constructor(opts: EndpointLimitsOptions) {
    this.#opts = opts;
  }

  /** Requests a second that an endpoint takes; undefined without a limit. */
  limitOf(id: EndpointId): number | undefined {
    return this.#register.limitOf(id);
  }

  /** Takes in what an answer says whose head came at `at`. */
  answered({ id }: EndpointRow, limit: AnswerLimit, at: number): void {
    if (limit.kind === "unreadable") return this.#noteUnreadable(id);
    this.#unreadable.delete(id);
    const ratePerS = limit.kind === "limited" ? limit.ratePerS : undefined;
    this.#follow(id, { ratePerS, at }, "answer");
  }

  /** Notes that a request goes out. */
  sent({ id }: EndpointRow): void {
    if (this.limitOf(id) === undefined) return;
    this.#opts.metrics.count("endpoint.limited", {
      endpoint: id,
      result: "sent",
    });
  }

  /** Forgets an endpoint that ended or started anew. */
  forget({ id }: EndpointRow): void {
    this.#unreadable.delete(id);
    const before = this.limitOf(id);
    this.#register.forget(id, this.#opts.clock.now());
    if (before !== undefined) this.#changed(id, undefined, "end");
  }

  #follow(id: EndpointId, limit: ObservedLimit, source: string): void {
    const before = this.limitOf(id);
    this.#register.observed(id, limit);
    const after = this.limitOf(id);
    if (after !== before) this.#changed(id, after, source, limit.at);
  }

  #changed(
    id: EndpointId,
    ratePerS: number | undefined,
    source: string,
    at = this.#opts.clock.now(),
  ): void {
    const { clock, log, metrics } = this.#opts;
    metrics.gauge("endpoint.limit", ratePerS ?? 0, { endpoint: id });
    log.event("endpoint_limit_changed", {
      endpoint: id,
      ratePerS,
      source,
      ageMs: Math.round(clock.now() - at),
    });
  }

  #noteUnreadable(endpoint: EndpointId): void {
    if (this.#unreadable.has(endpoint)) return;
    this.#unreadable.add(endpoint);
    this.#opts.log.event("endpoint_limit_unreadable", { endpoint });
  }
}
