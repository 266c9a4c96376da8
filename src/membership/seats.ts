/**
 * Seats: each availability zone has a fixed number of them. Rates, slots and
 * homes of operations are divided over seats rather than instances, so that the
 * parts add up to the whole while instances join and leave.
 *
 * @module
 */
import type { InstanceId, ZoneId } from "../core/mod.ts";

/** Identifies a seat; `index` runs from 0 to the zone's `instances` minus 1. */
export interface Seat {
  readonly zone: ZoneId;
  readonly index: number;
}

/** A seat as recorded in the directory. */
export interface SeatEntry extends Seat {
  readonly holder: InstanceId | undefined;
  readonly incarnation: string;
  /** Increases by one with each change of holder; fences earlier holders. */
  readonly epoch: number;
}

/** A seat that this instance holds. */
export interface HeldSeat extends Seat {
  readonly epoch: number;
  /**
   * How much of the seat may be used, from 0 to 1: less what is reserved for
   * earlier holders, and only the floor of that once the lease has expired.
   */
  readonly part: number;
  /** When this expires unless renewed, on the clock of `now`. */
  readonly until: number;
}

/** Tracks which instance holds which seat. */
export interface SeatDirectory {
  /** Seats that this instance safely holds at `now`, also after a pause. */
  held(now: number): readonly HeldSeat[];
  /** All known seats, of this zone and of others. */
  entries(): readonly SeatEntry[];
}
