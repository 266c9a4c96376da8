/**
 * Seats: each availability zone has a fixed number of them, and whatever is
 * divided over instances (rates, slots, homes of operations) is divided over
 * seats, so that the parts add up to the whole however instances come and go.
 *
 * @module
 */
import type { InstanceId, ZoneId } from "../core/mod.ts";

/** Names a seat; `index` is from 0, below the zone's number of instances. */
export interface Seat {
  readonly zone: ZoneId;
  readonly index: number;
}

/** A seat as the directory knows it. */
export interface SeatEntry extends Seat {
  readonly holder: InstanceId | undefined;
  readonly incarnation: string;
  /** Rises by one each time the holder changes; fences an earlier holder. */
  readonly epoch: number;
}

/** A seat that this instance holds. */
export interface HeldSeat extends Seat {
  readonly epoch: number;
  /**
   * How much of the seat may be used, from 0 to 1: all of it while the lease
   * is renewed, the floor alone when its holder has heard nobody for long.
   */
  readonly part: number;
  /** When this ends unless renewed, on the clock of `now`. */
  readonly until: number;
}

/** Who holds which seat. */
export interface SeatDirectory {
  /** Seats this instance surely holds at `now`; none after a long pause. */
  held(now: number): readonly HeldSeat[];
  /** Every seat known, of this zone and of others. */
  entries(): readonly SeatEntry[];
}
