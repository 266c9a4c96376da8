/**
 * Distinguishes registrations that expired in a store outage from endpoints that
 * left.
 *
 * During an outage endpoints cannot renew their registrations, and all of them
 * expire. Live endpoints register again within two seconds of its end; if they
 * were removed, every request would be refused until then. If only this instance
 * lost the store, endpoints kept renewing: a missing one has left and must get
 * no more requests.
 *
 * @module
 */

/** Time after an outage in which a missing entry may be renewed, in ms. */
const RENEWAL_GRACE_MS = 2_300;
/**
 * Shortest outage in which entries expire, in milliseconds: endpoints renew
 * theirs every second or two, and an entry outlives three failed renewals.
 */
const MIN_OUTAGE_MS = 2_500;
/**
 * How long after this instance lost the store the contact of others is ignored,
 * in milliseconds: they may detect the same outage this much later.
 */
const DETECTION_SKEW_MS = 1_000;

/** Tracks store outages at one instance. */
export class ExpiryGuard {
  #lostAt: number | undefined;
  /** When another instance was first connected during this outage. */
  #peerContactAt: number | undefined;
  #holdUntil = -Infinity;

  /** Whether the store responds to this instance. */
  get isConnected(): boolean {
    return this.#lostAt === undefined;
  }

  /** Records that the store does not respond to this instance. */
  lost(now: number): void {
    if (this.#lostAt !== undefined) return;
    this.#lostAt = now;
    this.#peerContactAt = undefined;
  }

  /** Records that another instance reports contact with the store. */
  recordPeerContact(now: number): void {
    if (
      this.#lostAt === undefined ||
      now < this.#lostAt + DETECTION_SKEW_MS
    ) return;
    this.#peerContactAt ??= now;
  }

  /** Records that the store responds again. */
  regained(now: number): void {
    if (this.#lostAt === undefined) return;
    const outageMs = now - this.#lostAt;
    // A peer that was connected by the midpoint of the outage did not merely
    // reconnect a little earlier.
    const midpoint = this.#lostAt + outageMs / 2;
    const isLocal = this.#peerContactAt !== undefined &&
      this.#peerContactAt < midpoint;
    this.#lostAt = undefined;
    if (outageMs < MIN_OUTAGE_MS || isLocal) return;
    this.#holdUntil = now + RENEWAL_GRACE_MS;
  }

  /** Applies the hold time of an instance that is connected, in ms. */
  holdFor(forMs: number, now: number): void {
    this.#holdUntil = Math.max(this.#holdUntil, now + forMs);
  }

  /** How long an entry that is missing now may still be renewed, in ms. */
  holdMs(now: number): number {
    return Math.max(0, this.#holdUntil - now);
  }
}
