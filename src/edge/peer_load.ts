/**
 * Requests of other instances in flight at endpoints, as last reported.
 *
 * @module
 */
import type { EndpointId, InstanceId } from "../core/mod.ts";
import type { EndpointRow } from "../traffic/mod.ts";

/** Requests in flight by endpoint; none where there is no entry. */
export type InFlight = ReadonlyMap<EndpointId, number>;

/** Finds an endpoint's row. */
export type RowOf = (endpoint: EndpointId) => EndpointRow | undefined;

/**
 * Sums reports for the endpoints' rows, by their differences.
 *
 * Load: summed anew with each report, the cost grows with the square of the
 * fleet.
 */
export class PeerLoad {
  readonly #reported = new Map<InstanceId, InFlight>();
  readonly #sums = new Map<EndpointId, number>();
  readonly #rowOf: RowOf;

  constructor(rowOf: RowOf) {
    this.#rowOf = rowOf;
  }

  /** Takes in the report of a group: an instance, a zone, or the fleet. */
  reported(group: InstanceId, inFlight: InFlight): void {
    this.unreachable(group);
    this.#reported.set(group, inFlight);
    for (const [endpoint, n] of inFlight) this.#add(endpoint, n);
  }

  /** Leaves out a group that is unreachable. */
  unreachable(group: InstanceId): void {
    for (const [endpoint, n] of this.#reported.get(group) ?? []) {
      this.#add(endpoint, -n);
    }
    this.#reported.delete(group);
  }

  #add(endpoint: EndpointId, more: number): void {
    const sum = (this.#sums.get(endpoint) ?? 0) + more;
    if (sum > 0) this.#sums.set(endpoint, sum);
    else this.#sums.delete(endpoint);
    const row = this.#rowOf(endpoint);
    if (row !== undefined) row.peersInFlight = Math.max(0, sum);
  }
}
