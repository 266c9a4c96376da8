/**
 * Detects growth of the demand at one instance before peers report theirs.
 *
 * Load: a burst reaches all instances at once, and peers' demand arrives one
 * gossip period later, or three through relays. Until then each instance would
 * admit the same fraction of the burst as of the demand before it.
 *
 * @module
 */
import { EwmaRate } from "./ewma_rate.ts";

/** Time constants of the recent and of the baseline rate. */
const RECENT_TIME_CONSTANT_MS = 500;
const BASELINE_TIME_CONSTANT_MS = 3_000;
/**
 * Requests above the baseline that are taken for random variation: this many
 * standard deviations of a Poisson count, plus one.
 */
const DEVIATIONS = 2;
const MS_PER_S = 1_000;

/** Compares the recent request rate with the baseline. */
export class DemandTrend {
  readonly #recent = new EwmaRate(RECENT_TIME_CONSTANT_MS);
  readonly #baseline = new EwmaRate(BASELINE_TIME_CONSTANT_MS);

  /** Counts one request. */
  recordRequest(now: number): void {
    this.#recent.add(now);
    this.#baseline.add(now);
  }

  /** Recent rate over the baseline; 1 within random variation. */
  growth(now: number): number {
    const recent = this.#recent.perS(now) * RECENT_TIME_CONSTANT_MS / MS_PER_S;
    const baseline = this.#baseline.perS(now) * RECENT_TIME_CONSTANT_MS /
      MS_PER_S;
    if (recent <= baseline + DEVIATIONS * Math.sqrt(baseline) + 1) return 1;
    return recent / Math.max(1, baseline);
  }
}
