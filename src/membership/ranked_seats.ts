/**
 * The plain baseline: an instance's seat is its rank among the instances that
 * the platform lists in its zone.
 *
 * What goes wrong with it: two instances that see different lists take the
 * same seat, which shows as more work at an endpoint than it has slots.
 *
 * @module
 */
import type { InstanceId, ZoneId } from "../core/mod.ts";
import { type SteeringDocument, zonesOf } from "../document/mod.ts";
import type { Roster } from "./roster.ts";
import type { HeldSeat, SeatDirectory, SeatEntry } from "./seats.ts";

/** What a ranking needs. */
export interface RankedSeatsDeps {
  readonly instance: InstanceId;
  readonly zone: ZoneId;
  readonly roster: Roster;
  readonly document: () => SteeringDocument;
}

/** Seats by rank in the lagging list. */
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
