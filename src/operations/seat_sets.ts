/**
 * The seat sets of the last documents.
 *
 * When a document adds or takes away seats, some ids get another home. The
 * earlier home may have run them, so the new one has to know which it was.
 *
 * @module
 */
import type { Clock } from "../core/mod.ts";
import type { Seat } from "../membership/mod.ts";
import {
  isSameSeat,
  type OperationIdentity,
  SeatSet,
  type ZoneSeats,
} from "./home_seat.ts";

interface Earlier {
  readonly set: SeatSet;
  readonly until: number;
}

/** An id's home, and where it was before the seats changed. */
export interface SeatHome {
  readonly seat: Seat | undefined;
  readonly moved: readonly Seat[];
  /** When the seats last changed. */
  readonly changedAt: number;
}

/** What seat sets need. */
export interface SeatSetsDeps {
  readonly clock: Clock;
  readonly retentionMs: number;
}

/** Finds homes, and remembers seat sets for as long as records live. */
export class SeatSets {
  readonly #deps: SeatSetsDeps;
  #zones: readonly ZoneSeats[] = [];
  #set = new SeatSet([]);
  #earlier: Earlier[] = [];
  #changedAt = -Infinity;

  constructor(deps: SeatSetsDeps) {
    this.#deps = deps;
  }

  /** Takes over the zones of a newly accepted document. */
  adopt(zones: readonly ZoneSeats[]): void {
    if (describeZones(zones) === describeZones(this.#zones)) return;
    const now = this.#deps.clock.now();
    if (this.#zones.length > 0) {
      const until = now + this.#deps.retentionMs;
      this.#earlier.push({ set: this.#set, until });
      this.#changedAt = now;
    }
    this.#zones = zones;
    this.#set = new SeatSet(zones);
  }

  find(operation: OperationIdentity): SeatHome {
    const now = this.#deps.clock.now();
    if (this.#earlier.some((e) => e.until <= now)) {
      this.#earlier = this.#earlier.filter((e) => e.until > now);
    }
    const seat = this.#set.homeOf(operation);
    const moved = this.#earlier.map((e) => e.set.homeOf(operation))
      .filter((s) => s !== undefined)
      .filter((s) => !isSameSeat(s, seat));
    return { seat, moved, changedAt: this.#changedAt };
  }
}

function describeZones(zones: readonly ZoneSeats[]): string {
  return zones.map((z) => `${z.zone}:${z.instances}`).sort().join(" ");
}
