/**
 * The seat sets of recent documents.
 *
 * When a document adds or removes seats, the home of some ids changes. The
 * previous home may have run them, so the new one has to know which it was.
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

interface PreviousSeatSet {
  readonly set: SeatSet;
  readonly until: number;
}

/** An id's home, and its homes before the seats changed. */
export interface SeatHome {
  readonly seat: Seat | undefined;
  readonly previousSeats: readonly Seat[];
  /** When the seats last changed. */
  readonly changedAt: number;
}

/** Dependencies of the seat set history. */
export interface SeatSetHistoryDeps {
  readonly clock: Clock;
  readonly retentionMs: number;
}

/** Finds homes, and keeps replaced seat sets as long as records live. */
export class SeatSetHistory {
  readonly #deps: SeatSetHistoryDeps;
  #zones: readonly ZoneSeats[] = [];
  #set = new SeatSet([]);
  #previous: PreviousSeatSet[] = [];
  #changedAt = -Infinity;

  constructor(deps: SeatSetHistoryDeps) {
    this.#deps = deps;
  }

  /** Applies the zones of a newly accepted document. */
  adopt(zones: readonly ZoneSeats[]): void {
    if (describeZones(zones) === describeZones(this.#zones)) return;
    const now = this.#deps.clock.now();
    if (this.#zones.length > 0) {
      const until = now + this.#deps.retentionMs;
      this.#previous.push({ set: this.#set, until });
      this.#changedAt = now;
    }
    this.#zones = zones;
    this.#set = new SeatSet(zones);
  }

  find(operation: OperationIdentity): SeatHome {
    const now = this.#deps.clock.now();
    if (this.#previous.some((e) => e.until <= now)) {
      this.#previous = this.#previous.filter((e) => e.until > now);
    }
    const seat = this.#set.homeOf(operation);
    const previousSeats = this.#previous.map((e) => e.set.homeOf(operation))
      .filter((s) => s !== undefined)
      .filter((s) => !isSameSeat(s, seat));
    return { seat, previousSeats, changedAt: this.#changedAt };
  }
}

function describeZones(zones: readonly ZoneSeats[]): string {
  return zones.map((z) => `${z.zone}:${z.instances}`).sort().join(" ");
}
