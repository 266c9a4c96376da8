/**
 * In-flight requests of other instances per endpoint, as last reported.
 *
 * @module
 */
import type { EndpointId, InstanceId } from "../core/mod.ts";
import type { EndpointRow } from "../traffic/mod.ts";

/** In-flight requests by endpoint; zero if there is no entry. */
export type InFlightCounts = ReadonlyMap<EndpointId, number>;

export type EndpointLookup = (endpoint: EndpointId) => EndpointRow | undefined;

/**
 * Keeps totals per endpoint by applying the difference of each report.
 *
 * Load: recomputing the totals for each report would cost the square of the
 * fleet size.
 */
export class PeerLoad {
  readonly #reported = new Map<InstanceId, InFlightCounts>();
  readonly #totals = new Map<EndpointId, number>();
  readonly #rowOf: EndpointLookup;

  constructor(rowOf: EndpointLookup) {
    this.#rowOf = rowOf;
  }

  /** Applies the report of a group: an instance, a zone, or the fleet. */
  applyReport(group: InstanceId, inFlight: InFlightCounts): void {
    this.remove(group);
    this.#reported.set(group, inFlight);
    for (const [endpoint, n] of inFlight) this.#add(endpoint, n);
  }

  /** Removes a group from the totals. */
  remove(group: InstanceId): void {
    for (const [endpoint, n] of this.#reported.get(group) ?? []) {
      this.#add(endpoint, -n);
    }
    this.#reported.delete(group);
  }

  #add(endpoint: EndpointId, delta: number): void {
    const sum = (this.#totals.get(endpoint) ?? 0) + delta;
    if (sum > 0) this.#totals.set(endpoint, sum);
    else this.#totals.delete(endpoint);
    const row = this.#rowOf(endpoint);
    if (row !== undefined) row.peersInFlight = Math.max(0, sum);
  }
}
