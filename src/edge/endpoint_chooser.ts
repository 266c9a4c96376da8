/**
 * Selects an endpoint per request and records the outcome for outlier detection.
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
import type { SendResult } from "./endpoint_sender.ts";
import type { TrafficState } from "./traffic_state.ts";
import type { RequestContext } from "./request_context.ts";

/** What the chooser works with. */
export interface EndpointChooserOptions {
  readonly state: TrafficState;
  readonly placement: Placement;
  readonly limits: EndpointLimits;
  /** Instances that may be sending, this one included. */
  readonly fleetSize: () => number;
  /** This instance. */
  readonly own: InstanceId;
  /** This instance's region. */
  readonly region: RegionId;
  /** Every region with callers. */
  readonly regions: readonly RegionId[];
}

/** An endpoint and why it was selected, or why there is none. */
type Selection =
  | { readonly endpoint: EndpointRow; readonly why: PlacementReason }
  | {
    readonly endpoint: undefined;
    readonly waitMs: number;
    readonly why: string;
  };

/** The decisions about endpoints, put together for one instance. */
export class EndpointChooser {
  readonly #opts: EndpointChooserOptions;
  readonly #outliers = new OutlierDetector();
  readonly #cold: SlowStartLimiter;
  readonly #latency = new LatencyEstimator();
  readonly #retryAfter = new RetryAfterPolicy();

  constructor(opts: EndpointChooserOptions) {
    this.#opts = opts;
    this.#cold = new SlowStartLimiter(opts.own);
  }

  /**
   * The endpoint that a request goes to next.
   *
   * Failures: `no_endpoint`, `no_capacity`, with the time to come back.
   */
  choose(ctx: RequestContext, now: number): Result<EndpointRow, Failure> {
    const { region, regions, state } = this.#opts;
    const { service, route, account, req, tried } = ctx;
    const endpoints = state.eligible(service, ctx.regions);
    if (endpoints.length === 0) {
      return fail("no_endpoint", "the service has no endpoint", {
        retryAfterMs: NO_ENDPOINT_RETRY_MS,
      });
    }
    const ejectionLimited = this.#outliers.ejectionLimitReached(endpoints, now);
    const ask: PlacementRequest = {
      affinityKey: route.affinity ? req.fields.affinityKey : undefined,
      region,
      regions,
      pinned: ctx.regions === undefined ? state.bound : NOTHING_PINNED,
      priority: account?.priority ?? route.priority,
      meanLatencyMs: this.#latency.of(service),
      usable: (row) =>
        !tried.has(row) && this.#bearsOne(row, now) &&
        (ejectionLimited || !this.#outliers.isEjected(row, now)),
    };
    const placed = this.#withinLimits(endpoints, ask, now);
    if (placed.endpoint === undefined) {
      const outlook = this.#outlook(service, endpoints);
      const waitMs = this.#retryAfter.whenFull(outlook, placed.waitMs, now);
      return fail("no_capacity", placed.why, { retryAfterMs: waitMs });
    }
    ctx.chosenBy = placed.why;
    this.#spendCold(placed.endpoint, now);
    return ok(placed.endpoint);
  }

  /**
   * Places a request without regard to limits first, so that each endpoint's
   * whole demand is known; where that endpoint's limit has no room, among those
   * that have.
   */
  #withinLimits(
    endpoints: readonly EndpointRow[],
    ask: PlacementRequest,
    now: number,
  ): Selection {
    const { placement, limits } = this.#opts;
    const { priority: rank } = ask;
    const first = placement.choose(endpoints, ask);
    if (first.endpoint === undefined) return { ...first, why: NO_ROOM };
    if (limits.take(first.endpoint, rank, now)) return first;
    const { id } = first.endpoint;
    const second = placement.choose(endpoints, {
      ...ask,
      usable: (row) => ask.usable(row) && limits.hasRoom(row, rank, now),
    });
    if (second.endpoint === undefined) {
      const why = `endpoint ${id} takes ${limits.limitOf(id)} requests a ` +
        "second, and no other can take the request in time";
      return { ...second, why };
    }
    limits.take(second.endpoint, rank, now);
    return second;
  }

  /** Notes that a request goes out. */
  sent(row: EndpointRow, now: number): void {
    row.inFlight++;
    this.#outliers.sent(row, now);
  }

  /** Takes what a result says of its endpoint. */
  learn(
    row: EndpointRow,
    result: SendResult,
    opts: { readonly tookMs: number; readonly now: number },
  ): void {
    const { tookMs, now } = opts;
    row.inFlight--;
    if (result.kind === "answer" || result.kind === "not-run") {
      const { load } = result.fields;
      if (load !== undefined) row.reported(load, now);
      this.#learnLimit(row, result, now);
    }
    switch (result.kind) {
      case "answer":
        this.#outliers.record(
          row,
          result.status < 500 ? "good" : "failed",
          now,
        );
        if (result.status < 500) this.#latency.add(row.record.service, tookMs);
        return;
      case "not-run":
        // Another endpoint has the address: this one is gone, whatever the
        // registry says yet.
        if (result.moved) this.#opts.state.endpoints.remove(row.id);
        else this.#outliers.record(row, "shed", now);
        return;
      case "unsent":
        this.#outliers.record(row, "unreachable", now);
        this.#coldAfterOutage(row, now);
        return;
      case "unknown":
        this.#outliers.record(row, "failed", now);
        return;
      case "cancelled":
        return;
    }
  }

  /**
   * Another endpoint may answer at the address. What sheds a request names its
   * limit, but need not: only an answer lifts one.
   */
  #learnLimit(
    row: EndpointRow,
    result: Extract<SendResult, { kind: "answer" | "not-run" }>,
    now: number,
  ): void {
    const { limit, moved } = result.fields;
    if (moved || (result.kind === "not-run" && limit.kind === "none")) return;
    const at = Math.min(now, result.headAt ?? now);
    this.#opts.limits.answered(row, limit, at);
  }

  /** When a caller should come back whose request an endpoint shed, in ms. */
  shedRetryMs(ctx: RequestContext, row: EndpointRow, now: number): number {
    const endpoints = this.#opts.state.eligible(ctx.service, ctx.regions);
    const outlook = this.#outlook(ctx.service, endpoints);
    return this.#retryAfter.whenShed(row, outlook, now);
  }

  /** Forgets an endpoint that has ended. */
  forget(row: EndpointRow): void {
    this.#outliers.forget(row.id);
    this.#cold.forget(row.id);
    this.#opts.limits.forget(row);
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
    const usualMs = this.#latency.of(service);
    const instances = this.#opts.fleetSize();
    return { service, slots, meanLatencyMs: usualMs, instances, limitPerS };
  }

  /** Whether an endpoint that may be cold bears one request more. */
  #bearsOne(row: EndpointRow, now: number): boolean {
    if (!this.#cold.isCold(row, now)) return true;
    return this.#cold.hasRoom(row, this.#coldRate(row), now);
  }

  #spendCold(row: EndpointRow, now: number): void {
    if (!this.#cold.isCold(row, now)) return;
    this.#cold.take(row, this.#coldRate(row), now);
  }

  #coldRate(row: EndpointRow): ColdRate {
    const ratePerS = this.#policy(row)?.coldRatePerS ?? UNKNOWN_COLD_PER_S;
    return { ratePerS, instances: this.#opts.fleetSize() };
  }

  /**
   * An endpoint that could not be reached may have ended, and may come back
   * under the same id with nothing in memory before the registry says so.
   */
  #coldAfterOutage(row: EndpointRow, now: number): void {
    const coldMs = this.#policy(row)?.coldStartMs ?? 0;
    row.coldUntil = Math.max(row.coldUntil, now + coldMs);
  }

  #policy(row: EndpointRow): ServicePolicy | undefined {
    return this.#opts.state.table?.plan.services.get(row.record.service);
  }
}

/**
 * When to come back to a service without endpoints, in milliseconds: about as
 * long as a registration takes to be known.
 */
const NO_ENDPOINT_RETRY_MS = 250;
/** Why a request is refused that finds all endpoints full. */
const NO_ROOM = "no endpoint can take the request in time";
/** Requests a second for a cold endpoint of a service the plan leaves out. */
const UNKNOWN_COLD_PER_S = 1;
