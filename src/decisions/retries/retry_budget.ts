/**
 * How many retries an instance may make for a service.
 *
 * Answers a pool of endpoints that fails. If every failed request were tried
 * three times, a pool that is down or overloaded would get three times its
 * load just then and could not recover, which shows as failures that go on
 * after their cause is gone. A tenth of the requests covers single failures
 * and restarts; a few a second keep retries alive where there is little
 * traffic.
 *
 * @module
 */

/** Retries earned by each request. */
const EARNED_PART = 0.1;
/** Retries earned each second whatever the traffic. */
const EARNED_PER_S = 3;
/** Retries that may be saved up: a restart of one endpoint, not of a pool. */
const MAX_SAVED = 20;
const MS_PER_S = 1_000;

/** Retries of one service at one instance. */
export class RetryBudget {
  #saved = MAX_SAVED / 2;
  #earnedAt: number;

  constructor(now: number) {
    this.#earnedAt = now;
  }

  /** Counts a first try. */
  request(now: number): void {
    this.#earn(now, EARNED_PART);
  }

  /** Spends a retry if there is one. */
  take(now: number): boolean {
    this.#earn(now, 0);
    if (this.#saved < 1) return false;
    this.#saved -= 1;
    return true;
  }

  #earn(now: number, extra: number): void {
    const elapsed = Math.max(0, now - this.#earnedAt);
    this.#earnedAt = Math.max(now, this.#earnedAt);
    const earned = elapsed / MS_PER_S * EARNED_PER_S + extra;
    this.#saved = Math.min(MAX_SAVED, this.#saved + earned);
  }
}
