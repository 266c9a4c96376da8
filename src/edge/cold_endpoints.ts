/**
 * Slow start of endpoints at one instance: those that the registry lists as
 * cold, and those that were unreachable.
 *
 * @module
 */
import type { InstanceId } from "../core/mod.ts";
import { type ColdRate, SlowStartLimiter } from "../decisions/placement/mod.ts";
import type { EndpointRow, ServicePolicy } from "../traffic/mod.ts";
import type { TrafficState } from "./traffic_state.ts";

/** Requests a second for a cold endpoint whose service is not in the plan. */
const DEFAULT_COLD_RATE_PER_S = 1;

/** Dependencies of {@link ColdEndpoints}. */
export interface ColdEndpointsOptions {
  readonly state: TrafficState;
  /** Number of instances in the fleet, including this one. */
  readonly fleetSize: () => number;
  /** Whether the instance list was read; cold endpoints get nothing until then. */
  readonly isFleetKnown: () => boolean;
  readonly own: InstanceId;
}

/** Limits requests to cold endpoints by the policy of their service. */
export class ColdEndpoints {
  readonly #opts: ColdEndpointsOptions;
  readonly #slowStart: SlowStartLimiter;
  /** Endpoints that are treated as cold since they were unreachable. */
  readonly #marked = new Map<
    EndpointRow,
    { readonly at: number; readonly previous: number }
  >();

  constructor(opts: ColdEndpointsOptions) {
    this.#opts = opts;
    this.#slowStart = new SlowStartLimiter(opts.own);
  }

  /** Whether slow start allows one more request to an endpoint. */
  hasRoom(row: EndpointRow, now: number): boolean {
    if (!this.#slowStart.isCold(row, now)) return true;
    return this.#slowStart.hasRoom(row, this.#rateOf(row), now);
  }

  /** Counts a request to an endpoint, if that is cold. */
  take(row: EndpointRow, now: number): void {
    if (!this.#slowStart.isCold(row, now)) return;
    this.#slowStart.take(row, this.#rateOf(row), now);
  }

  /**
   * Treats an unreachable endpoint as cold: it may restart under the same id with
   * empty caches before the registry shows it.
   */
  unreachable(row: EndpointRow, now: number): void {
    const coldMs = this.#policy(row)?.coldStartMs ?? 0;
    const previous = this.#marked.get(row)?.previous ?? row.coldUntil;
    this.#marked.set(row, { at: now, previous });
    row.coldUntil = Math.max(row.coldUntil, now + coldMs);
  }

  /** Records a response; its endpoint keeps the time until which it is cold. */
  answered(row: EndpointRow): void {
    this.#marked.delete(row);
  }

  /** Undoes marks since a moment: their cause was the link. */
  linksLost(since: number): void {
    for (const [row, mark] of this.#marked) {
      if (mark.at >= since) row.coldUntil = mark.previous;
    }
    this.#marked.clear();
  }

  remove(row: EndpointRow): void {
    this.#slowStart.forget(row.id);
    this.#marked.delete(row);
  }

  #rateOf(row: EndpointRow): ColdRate {
    const ratePerS = this.#policy(row)?.coldRatePerS ?? DEFAULT_COLD_RATE_PER_S;
    const { fleetSize, isFleetKnown } = this.#opts;
    return { ratePerS, instances: isFleetKnown() ? fleetSize() : undefined };
  }

  #policy(row: EndpointRow): ServicePolicy | undefined {
    return this.#opts.state.routeTable?.plan.services.get(row.record.service);
  }
}
