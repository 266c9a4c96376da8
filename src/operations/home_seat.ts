/**
 * The home of an operation id that came without a home token: one seat, found
 * by rendezvous hashing over all seats that the steering document names.
 *
 * Were it found over the live instances or the seats heard of, two instances
 * that hear different ones would name different homes, and an operation would
 * run at both.
 *
 * @module
 */
import type { Seat } from "../membership/mod.ts";
import type { ZoneId } from "../core/mod.ts";
import { hashText, mix } from "./places.ts";

/** A zone and how many seats it has. */
export interface ZoneSeats {
  readonly zone: ZoneId;
  readonly instances: number;
}

interface HashedSeat extends Seat {
  readonly hash: number;
}

/** What an id's home is found by. */
export interface OperationIdentity {
  readonly account: string;
  readonly id: string;
}

/** The seats of one document. */
export class SeatSet {
  readonly #seats: readonly HashedSeat[];

  constructor(zones: readonly ZoneSeats[]) {
    this.#seats = zones.flatMap(({ zone, instances }) =>
      Array.from({ length: instances }, (_, index) => ({
        zone,
        index,
        hash: mix(hashText(`${zone}/${index}`)),
      }))
    );
  }

  /**
   * Finds an id's seat; undefined where there is none.
   *
   * @example
   * ```ts
   * const seat = new SeatSet(zones).homeOf({ account: "a1", id: "op-1" });
   * ```
   */
  homeOf({ account, id }: OperationIdentity): Seat | undefined {
    const operation = hashText(`${account} ${id}`);
    let best: HashedSeat | undefined;
    let bestScore = -1;
    for (const seat of this.#seats) {
      const score = mix(operation ^ seat.hash);
      if (score < bestScore) continue;
      if (score === bestScore && !before(seat, best)) continue;
      best = seat;
      bestScore = score;
    }
    return best;
  }
}

/** Whether two names stand for one seat. */
export function isSameSeat(a: Seat | undefined, b: Seat | undefined): boolean {
  return a?.zone === b?.zone && a?.index === b?.index;
}

function before(seat: Seat, other: Seat | undefined): boolean {
  if (other === undefined) return true;
  if (seat.zone !== other.zone) return seat.zone < other.zone;
  return seat.index < other.index;
}
