/**
 * Decides whether a response is buffered further or passed on as it arrives.
 *
 * A buffered response that is cut off can be retried or reported as a failure,
 * a streamed one cannot. So responses are buffered as long as the budget has
 * room, and only then streamed.
 *
 * Load: many responses that arrive slowly, each of them buffered in part. Their
 * usual size does not show before the first of them is complete, and without a
 * bound together they exceed the memory of the instance.
 *
 * @module
 */
import type { Reservation } from "./byte_budget.ts";

/** Memory for the response to one request. */
export class ResponseMemory {
  readonly #reservation: Reservation;
  readonly #rank: number;
  /** What was reserved for the response and is not taken yet. */
  #left: number;

  /** @param reservation The expected size, reserved with the request. */
  constructor(reservation: Reservation, rank: number) {
    this.#reservation = reservation;
    this.#rank = rank;
    this.#left = reservation.bytes;
  }

  /**
   * Takes memory for bytes that arrived; false if the response is to be passed on
   * from here as it arrives.
   */
  tryTake(bytes: number): boolean {
    const missing = Math.max(0, bytes - this.#left);
    if (missing > 0 && !this.#reservation.tryAdd(missing, this.#rank)) {
      return false;
    }
    this.#left = Math.max(0, this.#left - bytes);
    return true;
  }
}
