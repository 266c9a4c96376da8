/**
 * Limits of endpoints at one instance: learned from answers and peers, kept
 * with the fleet, logged and counted.
 *
 * @module
 */
import type {
  Clock,
  EndpointId,
  InstanceId,
  Log,
  Metrics,
} from "../core/mod.ts";
import {
  EndpointRateLimiter,
  LimitTable,
} from "../decisions/endpoint_limits/mod.ts";
import type {
  FleetDemand,
  RateLimitId,
  RateUse,
} from "../decisions/quotas/mod.ts";
import type { GroupReport, ObservedLimits } from "../fleet/mod.ts";
import type { EndpointRow } from "../traffic/mod.ts";
import type { AnswerLimit } from "./request_codec.ts";

/** What limits are kept with. */
export interface EndpointLimitsOptions {
  /** This instance. */
  readonly own: InstanceId;
  /** The fleet's demand, which counts that for endpoints too. */
  readonly demand: FleetDemand;
  /** How old what peers report may be, in milliseconds. */
  readonly gossipDelayMs: () => number;
  readonly clock: Clock;
  readonly log: Log;
  readonly metrics: Metrics;
}

/** Limits of endpoints as one instance keeps them. */
export class EndpointLimits {
  readonly #opts: EndpointLimitsOptions;
  readonly #register = new LimitTable();
  readonly #sends: EndpointRateLimiter;
  readonly #unreadable = new Set<EndpointId>();

  constructor(opts: EndpointLimitsOptions) {
    this.#opts = opts;
    this.#sends = new EndpointRateLimiter(opts.own, opts);
  }

  /** Requests a second that an endpoint takes; undefined without a limit. */
  limitOf(id: EndpointId): number | undefined {
    return this.#register.limitOf(id);
  }

  /** Whether an endpoint's limit has room for a request of this rank. */
  hasRoom({ id }: EndpointRow, rank: number, now: number): boolean {
    const ratePerS = this.limitOf(id);
    if (ratePerS === undefined) return true;
    return this.#sends.hasRoom(id, { ratePerS, rank }, now);
  }

  /** Counts a request that would go to an endpoint; gives whether it may. */
  take({ id }: EndpointRow, rank: number, now: number): boolean {
    const ratePerS = this.limitOf(id);
    if (ratePerS === undefined) return true;
    const admitted = this.#sends.take(id, { ratePerS, rank }, now);
    const result = admitted ? "sent" : "withheld";
    this.#opts.metrics.count("endpoint.limited", { endpoint: id, result });
    return admitted;
  }

  /** Takes in what an answer says whose head came at `at`. */
  answered({ id }: EndpointRow, limit: AnswerLimit, at: number): void {
    if (limit.kind === "unreadable") return this.#noteUnreadable(id);
    this.#unreadable.delete(id);
    const ratePerS = limit.kind === "limited" ? limit.ratePerS : undefined;
    this.#follow(
      id,
      "answer",
      () => this.#register.observe(id, { ratePerS, at }),
    );
  }

  /** Takes in what another instance, or several as one, report. */
  reported(news: GroupReport, now: number): void {
    const { group, limits, uses } = news;
    this.#sends.applyReport({ ...news, instance: group }, uses, now);
    for (const [id, limit] of limits) {
      this.#follow(id, group, () => this.#register.applyReport(id, limit));
    }
  }

  /** A group is not heard. */
  unreachable(group: InstanceId): void {
    this.#sends.markUnreachable(group);
  }

  /** Limits that this instance observed lately, for its peers. */
  observed(): ObservedLimits {
    return this.#register.report(this.#opts.clock.now());
  }

  /** What this instance sent to endpoints with a limit, for its peers. */
  uses(): ReadonlyMap<RateLimitId, RateUse> {
    return this.#sends.uses();
  }

  /** Forgets an endpoint that ended or started anew. */
  forget({ id }: EndpointRow): void {
    this.#unreadable.delete(id);
    const { clock } = this.#opts;
    this.#follow(id, "end", () => this.#register.remove(id, clock.now()));
  }

  /** Applies a change to the register, and follows what it does to a limit. */
  #follow(id: EndpointId, source: string, apply: () => void): void {
    const before = this.limitOf(id);
    apply();
    const after = this.limitOf(id);
    if (after === before) return;
    const { clock, log, metrics } = this.#opts;
    if (after === undefined) this.#sends.remove(id);
    else this.#sends.track(id, clock.now());
    metrics.gauge("endpoint.limit", after ?? 0, { endpoint: id });
    log.event("endpoint_limit_changed", {
      endpoint: id,
      ratePerS: after,
      source,
    });
  }

  #noteUnreadable(endpoint: EndpointId): void {
    if (this.#unreadable.has(endpoint)) return;
    this.#unreadable.add(endpoint);
    this.#opts.log.event("endpoint_limit_unreadable", { endpoint });
  }
}
