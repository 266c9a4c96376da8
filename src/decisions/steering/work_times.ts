/**
 * How long work takes, learned for each account and kind of work.
 *
 * Answers long work among short. With one figure for all, an endpoint that got
 * the long requests looks slow, and a queue of short ones looks like a long
 * wait, so that requests are refused which would have been served in time.
 *
 * @module
 */
import type { AccountId } from "../../core/mod.ts";

/** Learned times of one kind of work, in milliseconds. */
export interface WorkTime {
  /** Recent mean; what a slot is expected to be held for. */
  mean: number;
  /** What it takes when nothing is wrong: falls at once, rises slowly. */
  base: number;
  /** Mean distance from the mean. */
  deviation: number;
  samples: number;
  usedAt: number;
}

/** Taken until something was measured; low, so that nothing is refused early. */
const PRIOR_MS = 5;
const MEAN_WEIGHT = 0.1;
const BASE_FALL = 0.3;
/** At this rate the base follows a lasting change within some minutes. */
const BASE_RISE = 0.001;
const IDLE_MS = 60_000;
const FORGET_EVERY_MS = 10_000;
/** Two mean deviations above the mean lie nine in ten answers or more. */
const SAFE_DEVIATIONS = 2;
/** Samples before a kind's own figures count. */
const TRUSTED = 3;

/** Learned times of a service. */
export class WorkTimes {
  readonly #kinds = new Map<string, WorkTime>();
  #logMean = Math.log(PRIOR_MS);
  #samples = 0;
  #forgotAt = 0;

  /** Expected time of the account's work of a kind. */
  expected(account: AccountId, work: string): number {
    const kind = this.#kinds.get(keyOf(account, work));
    return kind && kind.samples >= TRUSTED ? kind.mean : this.typical;
  }

  /** Time within which nearly all such work ends; 0 if unknown. */
  within(account: AccountId, work: string): number {
    const kind = this.#kinds.get(keyOf(account, work));
    if (kind === undefined || kind.samples < TRUSTED) return 0;
    return kind.mean + SAFE_DEVIATIONS * kind.deviation;
  }

  /** Geometric mean over all work: a few long requests hardly move it. */
  get typical(): number {
    return Math.exp(this.#logMean);
  }

  /** Takes in a time; gives it as a multiple of the usual one, if known. */
  learn(
    account: AccountId,
    work: string,
    { ms, now }: { ms: number; now: number },
  ): number | undefined {
    const took = Math.max(0.1, ms);
    this.#samples += 1;
    const weight = Math.max(0.02, 1 / this.#samples);
    this.#logMean += weight * (Math.log(took) - this.#logMean);
    const key = keyOf(account, work);
    const kind = this.#kinds.get(key);
    if (kind === undefined) {
      const first = {
        mean: took,
        base: took,
        deviation: 0,
        samples: 1,
        usedAt: now,
      };
      this.#kinds.set(key, first);
      return undefined;
    }
    update(kind, took, now);
    return kind.samples > TRUSTED ? took / kind.base : undefined;
  }

  /** Drops kinds that were idle for a minute, so that state stays bounded. */
  forget(now: number): void {
    if (now - this.#forgotAt < FORGET_EVERY_MS) return;
    this.#forgotAt = now;
    for (const [key, kind] of this.#kinds) {
      if (now - kind.usedAt > IDLE_MS) this.#kinds.delete(key);
    }
  }
}

function update(kind: WorkTime, took: number, now: number): void {
  kind.samples += 1;
  kind.usedAt = now;
  const distance = Math.abs(took - kind.mean);
  kind.deviation += MEAN_WEIGHT * (distance - kind.deviation);
  kind.mean += MEAN_WEIGHT * (took - kind.mean);
  const rate = took < kind.base ? BASE_FALL : BASE_RISE;
  kind.base += rate * (took - kind.base);
}

function keyOf(account: AccountId, work: string): string {
  return `${account} ${work}`;
}
