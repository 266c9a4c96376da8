/**
 * Growth of the demand at one instance, seen before peers report theirs.
 *
 * Load: a burst reaches all instances at once, and each learns of the others'
 * demand a period of gossip later, or three by relays. Until then all would
 * admit as much of the burst as of the demand before it.
 *
 * @module
 */

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
  #recentPerS = 0;
  #usualPerS = 0;
  #at = 0;

  /** Counts one request. */
  asked(now: number): void {
    this.#follow(now);
    this.#recentPerS += MS_PER_S / RECENT_MS;
    this.#usualPerS += MS_PER_S / USUAL_MS;
  }

  /** How many times the usual rate the recent one is; 1 where it may be chance. */
  growth(now: number): number {
    this.#follow(now);
    const recent = this.#recentPerS * RECENT_MS / MS_PER_S;
    const usual = this.#usualPerS * RECENT_MS / MS_PER_S;
    if (recent <= usual + DEVIATIONS * Math.sqrt(usual) + 1) return 1;
    return recent / Math.max(1, usual);
  }

  #follow(now: number): void {
    const passedMs = Math.max(0, now - this.#at);
    this.#at = Math.max(now, this.#at);
    this.#recentPerS *= Math.exp(-passedMs / RECENT_MS);
    this.#usualPerS *= Math.exp(-passedMs / USUAL_MS);
  }
}
