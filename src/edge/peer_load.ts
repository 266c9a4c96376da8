/**
 * What the other instances have in flight at endpoints, as they last told.
 *
 * @module
 */
import type { EndpointId, InstanceId } from "../core/mod.ts";
import type { EndpointRow } from "../traffic/mod.ts";

/** Requests in flight by endpoint; none where there is no entry. */
export type InFlight = ReadonlyMap<EndpointId, number>;

/** Adds up what the others told, for the endpoints' rows. */
export class PeerLoad {
  readonly #told = new Map<InstanceId, InFlight>();

  /** Takes in what an instance told, and brings the rows up to date. */
  told(
    instance: InstanceId,
    inFlight: InFlight,
    rows: Iterable<EndpointRow>,
  ): void {
    this.#told.set(instance, inFlight);
    for (const row of rows) {
      let sum = 0;
      for (const told of this.#told.values()) sum += told.get(row.id) ?? 0;
      row.peersInFlight = sum;
    }
  }

  /** Leaves out an instance that is not heard any more. */
  silent(instance: InstanceId): void {
    this.#told.delete(instance);
  }
}
