/**
 * Keeps slots for short work while long work is about.
 *
 * Answers long work among short. A slot cannot be taken back, so if long
 * requests fill all of them, short ones wait for a long one to end, which
 * shows as quick reads that take as long as reports.
 *
 * @module
 */
import type { Slot } from "./dispatcher.ts";

/** Work beyond this multiple of the typical time counts as long. */
const LONG_RATIO = 4;
/**
 * Part of the slots that long work may fill while short work comes too: more
 * and short requests wait for a long one to end; less and long ones starve.
 */
const LONG_PART = 0.6;
/** Short work seen this lately, in milliseconds, keeps its slots free. */
const SHORT_SEEN_MS = 2_000;

/** Long work of one service at one instance. */
export class LongWork {
  #inFlight = 0;
  #shortSeenAt = -Infinity;

  /** Whether work of this cost is long beside the `typical`, both in ms. */
  isLong(cost: number, typical: number, now: number): boolean {
    const long = cost > LONG_RATIO * typical;
    if (!long) this.#shortSeenAt = now;
    return long;
  }

  /** Whether one more may start, of `capacity` slots. */
  mayRun(capacity: number, now: number): boolean {
    if (now - this.#shortSeenAt > SHORT_SEEN_MS) return true;
    return this.#inFlight < Math.max(1, Math.floor(capacity * LONG_PART));
  }

  /** Counts a slot as long work until it is released. */
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
