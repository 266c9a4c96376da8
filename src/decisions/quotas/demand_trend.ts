/**
 * Growth of the demand at one instance, seen before peers report theirs.
 *
 * Load: a burst reaches all instances at once, and each learns of the others'
 * demand a period of gossip later, or three by relays. Until then all would
 * admit as much of the burst as of the demand before it.
 *
 * @module
 */
import { FadingRate } from "./fading_rate.ts";

/** Memory of the recent and of the usual rate, in milliseconds. */
const RECENT_MS = 500;
const USUAL_MS = 3_000;
/**
 * Requests beyond the usual that chance accounts for: standard deviations of a
 * Poisson count, and one.
 */
const DEVIATIONS = 2;
const MS_PER_S = 1_000;

/** Compares recent requests with the usual ones. */
export class DemandTrend {
  readonly #recent = new FadingRate(RECENT_MS);
  readonly #usual = new FadingRate(USUAL_MS);

  /** Counts one request. */
  asked(now: number): void {
    this.#recent.add(now);
    this.#usual.add(now);
  }

  /** How many times the usual rate the recent one is; 1 where it may be chance. */
  growth(now: number): number {
    const recent = this.#recent.perS(now) * RECENT_MS / MS_PER_S;
    const usual = this.#usual.perS(now) * RECENT_MS / MS_PER_S;
    if (recent <= usual + DEVIATIONS * Math.sqrt(usual) + 1) return 1;
    return recent / Math.max(1, usual);
  }
}
