/**
 * Chooses the endpoint for a request, and learns from what became of it.
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
  ColdLimits,
  type ColdRate,
  ComeBack,
  EndpointVerdicts,
  NOTHING_BOUND,
  type Placement,
  type RoomOutlook,
  UsualTimes,
} from "../decisions/placement/mod.ts";
import type { EndpointRow, ServicePolicy } from "../traffic/mod.ts";
import type { SendResult } from "./endpoint_sender.ts";
import type { TrafficState } from "./traffic_state.ts";
import type { Trip } from "./trip.ts";

/** What the chooser works with. */
export interface EndpointChooserOptions {
  readonly state: TrafficState;
  readonly placement: Placement;
  /** Instances that may be sending, this one included. */
  readonly fleetSize: () => number;
  /** This instance. */
  readonly own: InstanceId;
  /** This instance's region. */
  readonly region: RegionId;
  /** Every region with callers. */
  readonly regions: readonly RegionId[];
}

/** The decisions about endpoints, put together for one instance. */
export class EndpointChooser {
  readonly #opts: EndpointChooserOptions;
  readonly #verdicts = new EndpointVerdicts();
  readonly #cold: ColdLimits;
  readonly #usual = new UsualTimes();
  readonly #comeBack = new ComeBack();

  constructor(opts: EndpointChooserOptions) {
    this.#opts = opts;
    this.#cold = new ColdLimits(opts.own);
  }

  /**
   * The endpoint that a request goes to next.
   *
   * Failures: `no_endpoint`, `no_capacity`, with the time to come back.
   */
  choose(trip: Trip, now: number): Result<EndpointRow, Failure> {
    const { placement, region, regions, state } = this.#opts;
    const { service, route, account, req, tried } = trip;
    const endpoints = state.eligible(service, trip.regions);
    if (endpoints.length === 0) {
      return fail("no_endpoint", "the service has no endpoint", {
        retryAfterMs: NO_ENDPOINT_RETRY_MS,
      });
    }
    const spareAside = this.#verdicts.tooManyAside(endpoints, now);
    const placed = placement.choose(endpoints, {
      affinityKey: route.affinity ? req.fields.affinityKey : undefined,
      region,
      regions,
      bound: trip.regions === undefined ? state.bound : NOTHING_BOUND,
      rank: account?.priority ?? route.priority,
      usualMs: this.#usual.of(service),
      usable: (row) =>
        !tried.has(row) && this.#bearsOne(row, now) &&
        (spareAside || !this.#verdicts.isAside(row, now)),
    });
    if (placed.endpoint === undefined) {
      const outlook = this.#outlook(service, endpoints);
      const waitMs = this.#comeBack.whenFull(outlook, placed.waitMs, now);
      return fail("no_capacity", "no endpoint can take the request in time", {
        retryAfterMs: waitMs,
      });
    }
    trip.chosenBy = placed.why;
    this.#spendCold(placed.endpoint, now);
    return ok(placed.endpoint);
  }

  /** Notes that a request goes out. */
  sent(row: EndpointRow, now: number): void {
    row.inFlight++;
    this.#verdicts.sent(row, now);
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
    }
    switch (result.kind) {
      case "answer":
        this.#verdicts.heard(row, result.status < 500 ? "good" : "failed", now);
        if (result.status < 500) this.#usual.add(row.record.service, tookMs);
        return;
      case "not-run":
        // Another endpoint has the address: this one is gone, whatever the
        // registry says yet.
        if (result.moved) this.#opts.state.endpoints.remove(row.id);
        else this.#verdicts.heard(row, "shed", now);
        return;
      case "unsent":
        this.#verdicts.heard(row, "unreachable", now);
        this.#coldAfterOutage(row, now);
        return;
      case "unknown":
        this.#verdicts.heard(row, "failed", now);
        return;
      case "cancelled":
        return;
    }
  }

  /** When a caller should come back whose request an endpoint shed, in ms. */
  shedRetryMs(trip: Trip, row: EndpointRow, now: number): number {
    const endpoints = this.#opts.state.eligible(trip.service, trip.regions);
    const outlook = this.#outlook(trip.service, endpoints);
    return this.#comeBack.whenShed(row, outlook, now);
  }

  /** Forgets an endpoint that has ended. */
  forget(row: EndpointRow): void {
    this.#verdicts.forget(row.id);
    this.#cold.forget(row.id);
  }

  #outlook(
    service: ServiceId,
    endpoints: readonly EndpointRow[],
  ): RoomOutlook {
    let slots = 0;
    for (const { record } of endpoints) slots += record.slots;
    const usualMs = this.#usual.of(service);
    return { service, slots, usualMs, instances: this.#opts.fleetSize() };
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
/** Requests a second for a cold endpoint of a service the plan leaves out. */
const UNKNOWN_COLD_PER_S = 1;
