/**
 * The home of an operation whose id came without a home token: one seat, chosen
 * by rendezvous hashing over all seats in the steering document.
 *
 * If it were chosen from the live instances or from the seats known through
 * gossip, two instances with different views would choose different homes, and
 * an operation would run at both.
 *
 * @module
 */
import type { Seat } from "../membership/mod.ts";
import type { ZoneId } from "../core/mod.ts";
import { hashText, mix } from "./replica_table.ts";

/** A zone and its number of seats. */
export interface ZoneSeats {
  readonly zone: ZoneId;
  readonly instances: number;
}

interface HashedSeat extends Seat {
  readonly hash: number;
}

/** The key by which an operation's home is found. */
export interface OperationIdentity {
  readonly account: string;
  readonly id: string;
}

/** The seats of one steering document. */
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
   * Returns the home seat of an operation; undefined if there are no seats.
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

/** Whether two values name the same seat. */
export function isSameSeat(a: Seat | undefined, b: Seat | undefined): boolean {
  return a?.zone === b?.zone && a?.index === b?.index;
}

function before(seat: Seat, other: Seat | undefined): boolean {
  if (other === undefined) return true;
  if (seat.zone !== other.zone) return seat.zone < other.zone;
  return seat.index < other.index;
}
