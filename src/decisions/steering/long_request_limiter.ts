/**
 * Limits the slots that long requests may hold while there are short ones.
 *
 * Running requests cannot be preempted. If long requests hold all slots, short
 * ones wait for a long one to end, and quick reads take as long as reports.
 *
 * @module
 */
import type { Slot } from "./dispatcher.ts";

/** Requests beyond this multiple of the typical duration count as long. */
const LONG_DURATION_RATIO = 4;
/**
 * Fraction of the slots that long requests may hold while there are short ones.
 * With more, short requests wait for long ones; with less, long ones starve.
 */
const MAX_LONG_SLOT_RATIO = 0.6;
/** The limit applies until this time after the last short request. */
const SHORT_REQUEST_WINDOW_MS = 2_000;

/** Limits the long requests of one service at one instance. */
export class LongRequestLimiter {
  #inFlight = 0;
  #lastShortAt = -Infinity;

  /** Whether a request of duration `cost` is long; both durations are in ms. */
  isLong(cost: number, typical: number, now: number): boolean {
    const long = cost > LONG_DURATION_RATIO * typical;
    if (!long) this.#lastShortAt = now;
    return long;
  }

  /** Whether one more long request may start, given `capacity` slots. */
  mayStart(capacity: number, now: number): boolean {
    if (now - this.#lastShortAt > SHORT_REQUEST_WINDOW_MS) return true;
    return this.#inFlight <
      Math.max(1, Math.floor(capacity * MAX_LONG_SLOT_RATIO));
  }

  /** Counts a slot as held by a long request until it is released. */
  count(slot: Slot): Slot {
    this.#inFlight += 1;
    let held = true;
    return {
      ...slot,
      release: (result, now) => {
        if (held) this.#inFlight -= 1;
        held = false;
        slot.release(result, now);
      },
    };
  }
}
