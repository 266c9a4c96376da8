/**
 * Selects an endpoint per request and records the result of each attempt.
 *
 * @module
 */
import { ok, type Result } from "neverthrow";
import {
  fail,
  type Failure,
  type InstanceId,
  type RegionId,
  type ServiceId,
} from "../core/mod.ts";
import {
  type CapacityOutlook,
  type ColdRate,
  LatencyEstimator,
  NOTHING_PINNED,
  OutlierDetector,
  type Placement,
  type PlacementReason,
  type PlacementRequest,
  RetryAfterPolicy,
  SlowStartLimiter,
} from "../decisions/placement/mod.ts";
import type { EndpointRow, ServicePolicy } from "../traffic/mod.ts";
import type { EndpointLimits } from "./endpoint_limits.ts";
import type { EndpointSignals } from "./endpoint_signals.ts";
import type { SendResult } from "./endpoint_sender.ts";
import type { TrafficState } from "./traffic_state.ts";
import type { RequestContext } from "./request_context.ts";

/** Dependencies of the chooser. */
export interface EndpointChooserOptions {
  readonly state: TrafficState;
  readonly placement: Placement;
  readonly limits: EndpointLimits;
  readonly signals: EndpointSignals;
  /** Number of instances in the fleet, including this one. */
  readonly fleetSize: () => number;
  readonly own: InstanceId;
  readonly region: RegionId;
  /** Every region with callers. */
  readonly regions: readonly RegionId[];
}

/** An endpoint and the reason for it, or why none was selected. */
type Selection =
  | { readonly endpoint: EndpointRow; readonly why: PlacementReason }
  | {
    readonly endpoint: undefined;
    readonly waitMs: number;
    readonly why: string;
  };

/** Combines the decisions about endpoints for one instance. */
export class EndpointChooser {
  readonly #opts: EndpointChooserOptions;
  readonly #outliers = new OutlierDetector();
  readonly #slowStart: SlowStartLimiter;
  /** Endpoints that are treated as cold since they were unreachable. */
  readonly #markedCold = new Map<
    EndpointRow,
    { readonly at: number; readonly previous: number }
  >();
  readonly #latency = new LatencyEstimator();
  readonly #retryAfter = new RetryAfterPolicy();

  constructor(opts: EndpointChooserOptions) {
    this.#opts = opts;
    this.#slowStart = new SlowStartLimiter(opts.own);
  }

  /**
   * Selects the endpoint for the next attempt.
   *
   * Failures: `no_endpoint`, `no_capacity`, each with a retry delay.
   */
  choose(ctx: RequestContext, now: number): Result<EndpointRow, Failure> {
    const { region, regions, state, signals } = this.#opts;
    const { service, route, account, req, tried } = ctx;
    const endpoints = state.eligible(service, ctx.regions);
    if (endpoints.length === 0) {
      return fail("no_endpoint", "the service has no endpoint", {
        retryAfterMs: NO_ENDPOINT_RETRY_MS,
      });
    }
    const ejectionLimited = this.#outliers.ejectionLimitReached(endpoints, now);
    const request: PlacementRequest = {
      affinityKey: route.affinity ? req.fields.affinityKey : undefined,
      region,
      regions,
      pinned: ctx.regions === undefined ? state.pinned : NOTHING_PINNED,
      priority: account?.priority ?? route.priority,
      meanLatencyMs: this.#latency.of(service),
      usable: (row) =>
        !tried.has(row) && signals.accepts(row, now) &&
        this.#hasColdCapacity(row, now) &&
        (ejectionLimited || !this.#outliers.isEjected(row, now)),
    };
    const selection = this.#placeWithinLimits(endpoints, request, now);
    if (selection.endpoint === undefined) {
      const outlook = this.#outlook(service, endpoints);
      const backoffMs = signals.acceptsInMs(endpoints, now);
      if (backoffMs > 0) {
        return fail("no_capacity", ALL_IN_BACKOFF, {
          retryAfterMs: this.#retryAfter.whenBackedOff(outlook, backoffMs, now),
        });
      }
      const waitMs = this.#retryAfter.whenFull(outlook, selection.waitMs, now);
      return fail("no_capacity", selection.why, { retryAfterMs: waitMs });
    }
    ctx.chosenBy = selection.why;
    this.#takeCold(selection.endpoint, now);
    return ok(selection.endpoint);
  }

  /**
   * Places a request regardless of limits first, which records each endpoint's
   * full demand. If that endpoint's limit is reached, places the request among
   * endpoints whose limit is not.
   */
  #placeWithinLimits(
    endpoints: readonly EndpointRow[],
    request: PlacementRequest,
    now: number,
  ): Selection {
    const { placement, limits } = this.#opts;
    const { priority } = request;
    const first = placement.choose(endpoints, request);
    if (first.endpoint === undefined) return { ...first, why: NO_CAPACITY };
    if (limits.admit(first.endpoint, priority, now)) return first;
    const { id } = first.endpoint;
    const second = placement.choose(endpoints, {
      ...request,
      usable: (row) =>
        request.usable(row) && limits.canSend(row, priority, now),
    });
    // `canSend` does not count the request as demand, so `admit` may refuse it.
    if (
      second.endpoint !== undefined &&
      limits.admit(second.endpoint, priority, now)
    ) return second;
    const why = `endpoint ${id} takes ${limits.limitOf(id)} requests a ` +
      "second, and no other can take the request in time";
    const waitMs = second.endpoint === undefined ? second.waitMs : 0;
    return { endpoint: undefined, waitMs, why };
  }

  /** Records that a request is being sent. */
  sent(row: EndpointRow, now: number): void {
    row.inFlight++;
    this.#outliers.sent(row, now);
  }

  /** Records the result of an attempt. */
  recordResult(
    row: EndpointRow,
    result: SendResult,
    opts: { readonly tookMs: number; readonly now: number },
  ): void {
    const { tookMs, now } = opts;
    row.inFlight--;
    switch (result.kind) {
      case "answer":
        this.#outliers.record(
          row,
          result.status < 500 ? "good" : "failed",
          now,
        );
        this.#markedCold.delete(row);
        if (result.status < 500) this.#latency.add(row.record.service, tookMs);
        return;
      case "not-run":
        // Another endpoint has the address, so this one has ended even if the
        // registry still lists it.
        if (result.moved) this.#opts.state.endpoints.remove(row.id);
        else this.#outliers.record(row, "shed", now);
        return;
      case "unsent":
        this.#outliers.record(row, "unreachable", now);
        this.#markCold(row, now);
        return;
      case "unknown":
        this.#outliers.record(row, "failed", now);
        return;
      case "withheld":
        return this.#outliers.withheld(row);
      case "cancelled":
        return;
    }
  }

  /**
   * Undoes what failed connections since a moment have led to, as their cause
   * was the link and not the endpoints.
   */
  linksLost(since: number): void {
    this.#outliers.reset();
    for (const [row, mark] of this.#markedCold) {
      if (mark.at >= since) row.coldUntil = mark.previous;
    }
    this.#markedCold.clear();
  }

  /** Retry delay for a request that an endpoint shed, in milliseconds. */
  retryAfterShedMs(ctx: RequestContext, row: EndpointRow, now: number): number {
    const endpoints = this.#opts.state.eligible(ctx.service, ctx.regions);
    const outlook = this.#outlook(ctx.service, endpoints);
    return this.#retryAfter.whenShed(row, outlook, now);
  }

  /** Removes the state of an endpoint that has ended. */
  remove(row: EndpointRow): void {
    this.#outliers.forget(row.id);
    this.#slowStart.forget(row.id);
    this.#markedCold.delete(row);
    this.#opts.signals.remove(row);
  }

  #outlook(
    service: ServiceId,
    endpoints: readonly EndpointRow[],
  ): CapacityOutlook {
    let slots = 0;
    let limitPerS = 0;
    for (const { id, record } of endpoints) {
      slots += record.slots;
      limitPerS += this.#opts.limits.limitOf(id) ?? Infinity;
    }
    const meanLatencyMs = this.#latency.of(service);
    const instances = this.#opts.fleetSize();
    return { service, slots, meanLatencyMs, instances, limitPerS };
  }

  /** Whether slow start allows one more request to an endpoint. */
  #hasColdCapacity(row: EndpointRow, now: number): boolean {
    if (!this.#slowStart.isCold(row, now)) return true;
    return this.#slowStart.hasRoom(row, this.#coldRate(row), now);
  }

  #takeCold(row: EndpointRow, now: number): void {
    if (!this.#slowStart.isCold(row, now)) return;
    this.#slowStart.take(row, this.#coldRate(row), now);
  }

  #coldRate(row: EndpointRow): ColdRate {
    const ratePerS = this.#policy(row)?.coldRatePerS ?? DEFAULT_COLD_RATE_PER_S;
    return { ratePerS, instances: this.#opts.fleetSize() };
  }

  /**
   * Treats an unreachable endpoint as cold: it may restart under the same id with
   * empty caches before the registry shows it.
   */
  #markCold(row: EndpointRow, now: number): void {
    const coldMs = this.#policy(row)?.coldStartMs ?? 0;
    const previous = this.#markedCold.get(row)?.previous ?? row.coldUntil;
    this.#markedCold.set(row, { at: now, previous });
    row.coldUntil = Math.max(row.coldUntil, now + coldMs);
  }

  #policy(row: EndpointRow): ServicePolicy | undefined {
    return this.#opts.state.routeTable?.plan.services.get(row.record.service);
  }
}

/**
 * Retry delay for a service without endpoints, in milliseconds: about as long as
 * a registration takes to reach this instance.
 */
const NO_ENDPOINT_RETRY_MS = 250;
const NO_CAPACITY = "no endpoint can take the request in time";
const ALL_IN_BACKOFF = "every endpoint of the service asked for no requests";
/** Requests a second for a cold endpoint whose service is not in the plan. */
const DEFAULT_COLD_RATE_PER_S = 1;
