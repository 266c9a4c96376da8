/**
 * Selects an endpoint per request and records the result of each attempt.
 *
 * @module
 */
import { err, ok, type Result } from "neverthrow";
import type { Failure, InstanceId, RegionId } from "../core/mod.ts";
import {
  LatencyEstimator,
  NOTHING_PINNED,
  OutlierDetector,
  type Placement,
  type PlacementRequest,
} from "../decisions/placement/mod.ts";
import type { EndpointRow } from "../traffic/mod.ts";
import { CapacityRefusals } from "./capacity_refusals.ts";
import { ColdEndpoints } from "./cold_endpoints.ts";
import type { EndpointLimits } from "./endpoint_limits.ts";
import type { EndpointSignals } from "./endpoint_signals.ts";
import type { SendResult } from "./endpoint_sender.ts";
import { LimitedPlacement } from "./limited_placement.ts";
import type { StreamEnd } from "./remainder_deadline.ts";
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
  /** Whether the instance list was read. */
  readonly isFleetKnown: () => boolean;
  readonly own: InstanceId;
  readonly region: RegionId;
  /** Every region with callers. */
  readonly regions: readonly RegionId[];
}

/** Combines the decisions about endpoints for one instance. */
export class EndpointChooser {
  readonly #opts: EndpointChooserOptions;
  readonly #outliers = new OutlierDetector();
  readonly #latency = new LatencyEstimator();
  readonly #cold: ColdEndpoints;
  readonly #placement: LimitedPlacement;
  readonly #refusals: CapacityRefusals;

  constructor(opts: EndpointChooserOptions) {
    this.#opts = opts;
    this.#cold = new ColdEndpoints(opts);
    this.#placement = new LimitedPlacement(opts.placement, opts.limits);
    this.#refusals = new CapacityRefusals({ ...opts, latency: this.#latency });
  }

  /**
   * Selects the endpoint for the next attempt.
   *
   * Failures: `no_endpoint`, `no_capacity`, each with a retry delay.
   */
  choose(ctx: RequestContext, now: number): Result<EndpointRow, Failure> {
    const { service } = ctx;
    const endpoints = this.#opts.state.eligible(service, ctx.regions);
    if (endpoints.length === 0) return err(this.#refusals.noEndpoint());
    const request = this.#placementRequest(ctx, endpoints, now);
    const selection = this.#placement.choose(endpoints, request, now);
    if (selection.endpoint === undefined) {
      const at = { service, endpoints };
      return err(this.#refusals.noCapacity(at, selection, now));
    }
    ctx.chosenBy = selection.why;
    this.#cold.take(selection.endpoint, now);
    return ok(selection.endpoint);
  }

  #placementRequest(
    ctx: RequestContext,
    endpoints: readonly EndpointRow[],
    now: number,
  ): PlacementRequest {
    const { region, regions, state, signals } = this.#opts;
    const { service, route, account, req, tried } = ctx;
    const ejectionLimited = this.#outliers.ejectionLimitReached(endpoints, now);
    return {
      affinityKey: route.affinity ? req.fields.affinityKey : undefined,
      region,
      regions,
      pinned: ctx.regions === undefined ? state.pinned : NOTHING_PINNED,
      priority: account?.priority ?? route.priority,
      meanLatencyMs: this.#latency.of(service),
      usable: (row) =>
        !tried.has(row) && signals.accepts(row, now) &&
        this.#cold.hasRoom(row, now) &&
        (ejectionLimited || !this.#outliers.isEjected(row, now)),
    };
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
        this.#cold.answered(row);
        if (result.status >= 500) {
          return this.#outliers.record(row, "failed", now);
        }
        this.#latency.add(row.record.service, tookMs);
        // A streamed response counts once it has ended.
        if (result.body.remainder) this.#outliers.responded(row, now);
        else this.#outliers.record(row, "good", now);
        return;
      case "not-run":
        // Another endpoint has the address, so this one has ended even if the
        // registry still lists it.
        if (result.moved) this.#opts.state.endpoints.remove(row.id);
        else this.#outliers.record(row, "shed", now);
        return;
      case "unsent":
        this.#outliers.record(row, "unreachable", now);
        this.#cold.unreachable(row, now);
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

  /** Records the end of a response that was streamed. */
  recordStreamEnd(
    row: EndpointRow,
    { status }: { readonly status: number },
    opts: { readonly end: StreamEnd; readonly now: number },
  ): void {
    const { end, now } = opts;
    // One that failed counted at its header.
    if (status >= 500 || end === "unread") return;
    const outcome = end === "complete" ? "good" : "failed";
    this.#outliers.recordStream(row, outcome, now);
  }

  /**
   * Undoes what failed connections since a moment have led to, as their cause
   * was the link and not the endpoints.
   */
  linksLost(since: number): void {
    this.#outliers.reset();
    this.#cold.linksLost(since);
  }

  /** Retry delay for a request that an endpoint shed, in milliseconds. */
  retryAfterShedMs(ctx: RequestContext, row: EndpointRow, now: number): number {
    const { service } = ctx;
    const endpoints = this.#opts.state.eligible(service, ctx.regions);
    return this.#refusals.afterShedMs({ service, endpoints }, row, now);
  }

  /** Removes the state of an endpoint that has ended. */
  remove(row: EndpointRow): void {
    this.#outliers.forget(row.id);
    this.#cold.remove(row);
    this.#opts.signals.remove(row);
  }
}
