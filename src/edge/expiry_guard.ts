/**
 * Tells registrations that expired during an outage of the store from endpoints
 * that left.
 *
 * While the store is away endpoints cannot renew their entries, and all of them
 * lapse at once. Those that live are back within two seconds of its return.
 * Taken as gone, every request would be refused until then. But where only this
 * instance was cut off from the store, endpoints renewed theirs all the while,
 * and what is missing has left: it must get nothing more.
 *
 * @module
 */

/** How long after the store's return a missing entry may come back, in ms. */
const RETURN_MS = 2_300;
/**
 * Shorter outages let no entry lapse, in milliseconds: endpoints renew theirs
 * every second or two, and an entry outlives three renewals that fail.
 */
const LEAST_OUTAGE_MS = 2_500;
/**
 * How long after this instance lost the store others count as in touch with
 * it, in milliseconds: they may notice the same outage this much later.
 */
const NOTICE_MS = 1_000;

/** Follows outages of the store at one instance. */
export class ExpiryGuard {
  #lostAt: number | undefined;
  /** When another instance was first in touch during this outage. */
  #othersAt: number | undefined;
  #holdUntil = -Infinity;

  /** Whether this instance is in touch with the store. */
  get inTouch(): boolean {
    return this.#lostAt === undefined;
  }

  /** The store does not answer here. */
  lost(now: number): void {
    if (this.#lostAt !== undefined) return;
    this.#lostAt = now;
    this.#othersAt = undefined;
  }

  /** Another instance says that it is in touch with the store. */
  otherInTouch(now: number): void {
    if (this.#lostAt === undefined || now < this.#lostAt + NOTICE_MS) return;
    this.#othersAt ??= now;
  }

  /** The store answers again. */
  regained(now: number): void {
    if (this.#lostAt === undefined) return;
    const outageMs = now - this.#lostAt;
    // Others that were in touch by the middle of it did not merely regain the
    // store a little earlier.
    const middle = this.#lostAt + outageMs / 2;
    const onlyHere = this.#othersAt !== undefined && this.#othersAt < middle;
    this.#lostAt = undefined;
    if (outageMs < LEAST_OUTAGE_MS || onlyHere) return;
    this.#holdUntil = now + RETURN_MS;
  }

  /** An instance that is in touch with the store holds entries so long, in ms. */
  holdFor(forMs: number, now: number): void {
    this.#holdUntil = Math.max(this.#holdUntil, now + forMs);
  }

  /** How long an entry that is missing now may still come back, in ms. */
  holdMs(now: number): number {
    return Math.max(0, this.#holdUntil - now);
  }
}
