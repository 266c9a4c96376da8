/**
 * Detects at one instance that an account's demand has grown a lot, before
 * peers report theirs.
 *
 * Load: an account goes to eight times its usual demand at all instances at
 * once; reports of it arrive 0.4 to 1 s later. An instance with three of its
 * requests a second sees the growth within 0.3 s.
 *
 * @module
 */
import { EwmaRate } from "./ewma_rate.ts";

/** Time constants of the recent and of the baseline rate. */
const RECENT_TIME_CONSTANT_MS = 300;
const BASELINE_TIME_CONSTANT_MS = 10_000;
/** Minimum age of the baseline; below it, there is no growth. */
const MIN_AGE_MS = 1_000;
/** Deviations of a Poisson count, plus one, that are random variation. */
const DEVIATIONS = 3;
/** Lower growth is left to the reports. */
const MIN_GROWTH = 3;
const MS_PER_S = 1_000;

/** Compares an account's recent requests at an instance with its baseline. */
export class LocalGrowth {
  readonly #recent = new EwmaRate(RECENT_TIME_CONSTANT_MS);
  readonly #baseline = new EwmaRate(BASELINE_TIME_CONSTANT_MS);
  #firstAt: number | undefined;

  /** Counts one request. */
  recordRequest(now: number): void {
    this.#firstAt ??= now;
    this.#recent.add(now);
    // At full weight, growth would enter the baseline within its own duration.
    this.#baseline.add(now, 1 / this.factor(now));
  }

  /** Requests a second before the growth. */
  baselinePerS(now: number): number {
    const ageMs = Math.max(MIN_AGE_MS, now - (this.#firstAt ?? now));
    const weight = 1 - Math.exp(-ageMs / BASELINE_TIME_CONSTANT_MS);
    return this.#baseline.perS(now) / weight;
  }

  /** Lower estimate of the recent rate over the baseline; 1 if not grown. */
  factor(now: number): number {
    if (now - (this.#firstAt ?? now) < MIN_AGE_MS) return 1;
    const perCount = RECENT_TIME_CONSTANT_MS / MS_PER_S;
    const recent = this.#recent.perS(now) * perCount;
    const expected = this.baselinePerS(now) * perCount;
    const random = DEVIATIONS * Math.sqrt(expected) + 1;
    if (recent <= expected + random) return 1;
    const growth = (recent - Math.sqrt(recent)) / expected;
    return growth >= MIN_GROWTH ? growth : 1;
  }
}
