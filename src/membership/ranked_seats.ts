/**
 * Baseline without leases: an instance's seat is its rank among the zone's
 * instances in the roster.
 *
 * Two instances that see different lists can hold the same seat, and endpoints
 * then get more requests than they have slots.
 *
 * @module
 */
import type { InstanceId, ZoneId } from "../core/mod.ts";
import { type SteeringDocument, zonesOf } from "../document/mod.ts";
import type { Roster } from "./roster.ts";
import type { HeldSeat, SeatDirectory, SeatEntry } from "./seats.ts";

/** Dependencies of `RankedSeats`. */
export interface RankedSeatsDeps {
  readonly instance: InstanceId;
  readonly zone: ZoneId;
  readonly roster: Roster;
  readonly document: () => SteeringDocument;
}

/** Assigns seats by rank in the roster, which may lag. */
export class RankedSeats implements SeatDirectory {
  readonly #deps: RankedSeatsDeps;

  constructor(deps: RankedSeatsDeps) {
    this.#deps = deps;
  }

  held(): HeldSeat[] {
    const { instance, zone } = this.#deps;
    return this.entries()
      .filter((s) => s.zone === zone && s.holder === instance)
      .map(({ index }) => ({
        zone,
        index,
        epoch: 1,
        part: 1,
        until: Infinity,
      }));
  }

  entries(): SeatEntry[] {
    const members = [...this.#deps.roster.members(), this.#deps];
    return zonesOf(this.#deps.document()).flatMap(({ zone, instances }) =>
      members.filter((m) => m.zone === zone)
        .map((m) => m.instance).sort().slice(0, instances)
        .map((holder, index) => ({
          zone,
          index,
          holder,
          incarnation: "",
          epoch: 1,
        }))
    );
  }
}
