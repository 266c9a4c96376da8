/**
 * Limits the retries that an instance makes for a service.
 *
 * Load: a pool of endpoints that fails. If every failed request were tried
 * three times, a pool that is down or overloaded would get three times its load
 * and could not recover, so failures would outlast their cause. A tenth of the
 * requests covers single failures and restarts; a few retries a second serve
 * services with little traffic.
 *
 * @module
 */

const RETRIES_PER_REQUEST = 0.1;
/** Retries a second that are available at any request rate. */
const MIN_RETRIES_PER_S = 3;
/** Enough for the restart of one endpoint, but not of a pool. */
const MAX_BALANCE = 20;
const MS_PER_S = 1_000;

/** Retry budget of one service at one instance. */
export class RetryBudget {
  #balance = MAX_BALANCE / 2;
  #depositedAt: number;

  constructor(now: number) {
    this.#depositedAt = now;
  }

  /** Records a first attempt. */
  request(now: number): void {
    this.#deposit(now, RETRIES_PER_REQUEST);
  }

  /** Spends one retry if the balance allows it. */
  take(now: number): boolean {
    this.#deposit(now, 0);
    if (this.#balance < 1) return false;
    this.#balance -= 1;
    return true;
  }

  #deposit(now: number, extra: number): void {
    const elapsed = Math.max(0, now - this.#depositedAt);
    this.#depositedAt = Math.max(now, this.#depositedAt);
    const deposit = elapsed / MS_PER_S * MIN_RETRIES_PER_S + extra;
    this.#balance = Math.min(MAX_BALANCE, this.#balance + deposit);
  }
}
