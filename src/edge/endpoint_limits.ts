/**
 * Rate limits that endpoints announce: received in responses and from peers,
 * enforced together with the fleet, logged and counted.
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
import type { AnnouncedLimit } from "./request_codec.ts";

/** Minimum interval between log lines of an endpoint's state. */
const STATE_INTERVAL_MS = 1_000;

/** Dependencies of the limits. */
export interface EndpointLimitsOptions {
  readonly own: InstanceId;
  /** The fleet's demand, which includes that for endpoints. */
  readonly demand: FleetDemand;
  /** Usual maximum age of peers' reports, in milliseconds. */
  readonly gossipDelayMs: () => number;
  /** Whether the instance list was read. */
  readonly isFleetKnown: () => boolean;
  /** Measured age of the oldest report; undefined without reports. */
  readonly viewAgeMs: () => number | undefined;
  readonly clock: Clock;
  readonly log: Log;
  readonly metrics: Metrics;
}

/** A limit in effect, with times on this instance's clock. */
interface KnownLimit {
  /** When it became known here. */
  readonly at: number;
  /** When a response with it was first passed on; undefined if none was. */
  passedOnAt: number | undefined;
  /** When its state was last logged. */
  loggedAt: number;
}

/** Tracks and enforces the limits of endpoints at one instance. */
export class EndpointLimits {
  readonly #opts: EndpointLimitsOptions;
  readonly #table = new LimitTable();
  readonly #limiter: EndpointRateLimiter;
  readonly #unreadable = new Set<EndpointId>();
  /** The limits in effect. */
  readonly #known = new Map<EndpointId, KnownLimit>();

  constructor(opts: EndpointLimitsOptions) {
    this.#opts = opts;
    const { gossipDelayMs, viewAgeMs } = opts;
    this.#limiter = new EndpointRateLimiter(opts.own, {
      ...opts,
      gossipDelayMs: () => Math.max(gossipDelayMs(), viewAgeMs() ?? 0),
    });
  }

  /** An endpoint's limit in requests a second; undefined if there is none. */
  limitOf(id: EndpointId): number | undefined {
    return this.#table.limitOf(id);
  }

  /** Whether an endpoint's limit admits a request of this priority. */
  canSend({ id }: EndpointRow, priority: number, now: number): boolean {
    const ratePerS = this.limitOf(id);
    if (ratePerS === undefined) return true;
    return this.#limiter.hasRoom(id, { ratePerS, rank: priority }, now);
  }

  /** Counts a request to an endpoint as demand; returns whether it may be sent. */
  admit({ id }: EndpointRow, priority: number, now: number): boolean {
    const ratePerS = this.limitOf(id);
    if (ratePerS === undefined) return true;
    const admitted = this.#limiter.take(id, { ratePerS, rank: priority }, now);
    const result = admitted ? "sent" : "withheld";
    this.#opts.metrics.count("endpoint.limited", { endpoint: id, result });
    this.#logState(id, ratePerS, now);
    return admitted;
  }

  /** Applies the limit of a response whose header arrived at `at`. */
  answered({ id }: EndpointRow, limit: AnnouncedLimit, at: number): void {
    if (limit.kind === "unreadable") return this.#logUnreadable(id);
    this.#unreadable.delete(id);
    const ratePerS = limit.kind === "limited" ? limit.ratePerS : undefined;
    this.#applyChange(
      id,
      "answer",
      () => this.#table.observe(id, { ratePerS, at }),
    );
  }

  /** Records that a response with the endpoint's limit was passed on. */
  passedOn(id: EndpointId): void {
    const known = this.#known.get(id);
    if (known !== undefined) known.passedOnAt ??= this.#opts.clock.now();
  }

  /** Whether a request that was placed without a limit must be placed anew. */
  withholdsUnlimited(id: EndpointId): boolean {
    if (this.limitOf(id) === undefined) return false;
    const result = "withheld_late";
    this.#opts.metrics.count("endpoint.limited", { endpoint: id, result });
    return true;
  }

  /** Applies a report of another instance or group. */
  applyReport(report: GroupReport, now: number): void {
    const { group, limits, uses } = report;
    this.#limiter.applyReport({ ...report, instance: group }, uses, now);
    for (const [id, limit] of limits) {
      this.#applyChange(id, group, () => this.#table.applyReport(id, limit));
    }
  }

  markUnreachable(group: InstanceId): void {
    this.#limiter.markUnreachable(group);
  }

  /** Limits that this instance observed recently, for its peers. */
  observed(): ObservedLimits {
    return this.#table.report(this.#opts.clock.now());
  }

  /** Requests of this instance to endpoints with a limit, for its peers. */
  uses(): ReadonlyMap<RateLimitId, RateUse> {
    this.#limiter.tick(this.#opts.clock.now());
    return this.#limiter.uses();
  }

  /** Removes an endpoint that ended or restarted. */
  remove({ id }: EndpointRow): void {
    this.#unreadable.delete(id);
    const { clock } = this.#opts;
    this.#applyChange(id, "end", () => this.#table.remove(id, clock.now()));
  }

  /** Applies a change to the table, and logs it if the limit differs. */
  #applyChange(id: EndpointId, source: string, apply: () => void): void {
    const before = this.limitOf(id);
    apply();
    const after = this.limitOf(id);
    if (after === before) return;
    const { clock, log, metrics } = this.#opts;
    if (after === undefined) {
      this.#limiter.remove(id);
      this.#known.delete(id);
    } else {
      this.#limiter.track(id, clock.now());
      if (before === undefined) {
        const at = clock.now();
        this.#known.set(id, { at, passedOnAt: undefined, loggedAt: -Infinity });
      }
    }
    metrics.gauge("endpoint.limit", after ?? 0, { endpoint: id });
    log.event("endpoint_limit_changed", {
      endpoint: id,
      ratePerS: after,
      source,
    });
  }

  #logState(endpoint: EndpointId, ratePerS: number, now: number): void {
    const known = this.#known.get(endpoint);
    if (known === undefined || now - known.loggedAt < STATE_INTERVAL_MS) return;
    known.loggedAt = now;
    const state = this.#limiter.state(endpoint, { ratePerS, rank: 1 }, now);
    const { demand, isFleetKnown } = this.#opts;
    const viewAgeMs = this.#opts.viewAgeMs();
    this.#opts.metrics.gauge("endpoint.limit_sent", state.windowSent, {
      endpoint,
    });
    this.#opts.log.event("endpoint_limit_state", {
      endpoint,
      ratePerS,
      ...state,
      viewAgeMs,
      instances: demand.fleetSize,
      sizeKnown: isFleetKnown(),
      knownMs: Math.round(now - known.at),
      passedOnMs: known.passedOnAt === undefined
        ? undefined
        : Math.round(now - known.passedOnAt),
    });
  }

  #logUnreadable(endpoint: EndpointId): void {
    if (this.#unreadable.has(endpoint)) return;
    this.#unreadable.add(endpoint);
    this.#opts.log.event("endpoint_limit_unreadable", { endpoint });
  }
}
