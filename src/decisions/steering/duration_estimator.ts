/**
 * Estimates request durations per account and class of work.
 *
 * Handles mixes of long and short requests. With one estimate for all, an
 * endpoint that received the long requests looks slow, and the wait behind
 * short ones is overestimated, so requests are refused that could be served.
 *
 * @module
 */
import type { AccountId } from "../../core/mod.ts";

/** Duration estimate of one account and class of work, in milliseconds. */
export interface DurationEstimate {
  /** Moving average; the time a slot is expected to be held. */
  mean: number;
  /** Duration without overload; falls quickly and rises slowly. */
  baseline: number;
  /** Moving average of the absolute deviation from the mean. */
  deviation: number;
  samples: number;
  usedAt: number;
}

/** Estimate without samples; low, so that no request is refused on it. */
const PRIOR_MS = 5;
const MEAN_WEIGHT = 0.1;
const BASELINE_FALL_WEIGHT = 0.3;
/** With this weight the baseline follows a lasting change within minutes. */
const BASELINE_RISE_WEIGHT = 0.001;
const IDLE_EVICTION_MS = 60_000;
const EVICTION_INTERVAL_MS = 10_000;
/** At least nine in ten durations lie below the mean plus two deviations. */
const UPPER_BOUND_DEVIATIONS = 2;
/** Samples before the estimate of a class is used. */
const MIN_SAMPLES = 3;

/** Duration estimates of one service. */
export class DurationEstimator {
  readonly #estimates = new Map<string, DurationEstimate>();
  #logMean = Math.log(PRIOR_MS);
  #samples = 0;
  #evictedAt = 0;

  /** Expected duration; that of typical work while there are few samples. */
  expectedMs(account: AccountId, work: string): number {
    const estimate = this.#estimates.get(keyOf(account, work));
    return estimate && estimate.samples >= MIN_SAMPLES
      ? estimate.mean
      : this.typicalMs;
  }

  /** Duration that nearly all such requests stay below; 0 if unknown. */
  within(account: AccountId, work: string): number {
    const estimate = this.#estimates.get(keyOf(account, work));
    if (estimate === undefined || estimate.samples < MIN_SAMPLES) return 0;
    return estimate.mean + UPPER_BOUND_DEVIATIONS * estimate.deviation;
  }

  /** Geometric mean over all requests, which a few long ones hardly change. */
  get typicalMs(): number {
    return Math.exp(this.#logMean);
  }

  /** Records a duration; returns its ratio to the baseline, if there is one. */
  record(
    account: AccountId,
    work: string,
    { ms, now }: { ms: number; now: number },
  ): number | undefined {
    const durationMs = Math.max(0.1, ms);
    this.#samples += 1;
    const weight = Math.max(0.02, 1 / this.#samples);
    this.#logMean += weight * (Math.log(durationMs) - this.#logMean);
    const key = keyOf(account, work);
    const estimate = this.#estimates.get(key);
    if (estimate === undefined) {
      const first = {
        mean: durationMs,
        baseline: durationMs,
        deviation: 0,
        samples: 1,
        usedAt: now,
      };
      this.#estimates.set(key, first);
      return undefined;
    }
    update(estimate, durationMs, now);
    return estimate.samples > MIN_SAMPLES
      ? durationMs / estimate.baseline
      : undefined;
  }

  /** Evicts estimates that were unused for a minute, to bound memory. */
  evictIdle(now: number): void {
    if (now - this.#evictedAt < EVICTION_INTERVAL_MS) return;
    this.#evictedAt = now;
    for (const [key, estimate] of this.#estimates) {
      if (now - estimate.usedAt > IDLE_EVICTION_MS) this.#estimates.delete(key);
    }
  }
}

function update(
  estimate: DurationEstimate,
  durationMs: number,
  now: number,
): void {
  estimate.samples += 1;
  estimate.usedAt = now;
  const distance = Math.abs(durationMs - estimate.mean);
  estimate.deviation += MEAN_WEIGHT * (distance - estimate.deviation);
  estimate.mean += MEAN_WEIGHT * (durationMs - estimate.mean);
  const baselineWeight = durationMs < estimate.baseline
    ? BASELINE_FALL_WEIGHT
    : BASELINE_RISE_WEIGHT;
  estimate.baseline += baselineWeight * (durationMs - estimate.baseline);
}

function keyOf(account: AccountId, work: string): string {
  return `${account} ${work}`;
}
