/**
 * Distinguishes registrations that expired in a store outage from endpoints that
 * left.
 *
 * During an outage endpoints cannot renew their registrations, and all of them
 * expire. Live endpoints register again within about two seconds of its end; if
 * they were removed, every request would be refused until then.
 *
 * Entries are kept only after failed calls to the store, and only until live
 * endpoints have had time to register again since the store is known to be up. A
 * start or a change of roles is no outage, and a partition of some instances is
 * one to these alone: the others have seen the store up all the while.
 *
 * @module
 */
import type { Log } from "../core/mod.ts";
import type { StoreContact } from "./store_contact.ts";

/** Time after an outage in which a missing entry may be renewed, in ms. */
const RENEWAL_GRACE_MS = 2_300;
/**
 * Shortest outage in which entries expire, in milliseconds: endpoints renew
 * theirs every second or two, and an entry outlives three failed renewals.
 */
const MIN_OUTAGE_MS = 2_500;

/** Who reports an outage: this instance's calls, its watchers or another peer. */
export type OutageSource = "own" | "watchers" | "peer";

/** Tracks store outages at one instance. */
export class ExpiryGuard {
  readonly #contact: StoreContact;
  readonly #log: Log;
  #lostAt: number | undefined;
  #holdUntil = -Infinity;

  constructor(contact: StoreContact, log: Log) {
    this.#contact = contact;
    this.#log = log;
  }

  /** Whether no call to the store has failed since the last answer. */
  get isConnected(): boolean {
    return this.#lostAt === undefined;
  }

  /**
   * Records that calls to the store fail, those of this instance or of the peers
   * that watch it. A call shows a silent store only when it is overdue, so the
   * outage counts from the last contact that is known. A peer's late report may
   * be of that peer's link alone.
   */
  lost(now: number, source: OutageSource = "own"): void {
    const lostAt = source === "own" ? this.#contact.lastUpAt(now) : now;
    this.#lostAt = Math.min(this.#lostAt ?? lostAt, lostAt);
  }

  /** Records that calls to the store succeed again. */
  regained(now: number, source: OutageSource = "own"): void {
    if (this.#lostAt === undefined) return;
    const lostMs = now - this.#lostAt;
    this.#lostAt = undefined;
    if (lostMs < MIN_OUTAGE_MS) return;
    this.#hold(now + RENEWAL_GRACE_MS, { now, source, lostMs });
  }

  /** Applies the hold time that a peer reports, in milliseconds. */
  holdFor(forMs: number, now: number): void {
    this.#hold(now + forMs, { now, source: "peer" });
  }

  /** How long an entry that is missing now may still be renewed, in ms. */
  holdMs(now: number): number {
    const until = Math.min(this.#holdUntil, this.#renewedBy(now));
    return Math.max(0, until - now);
  }

  /** When live endpoints have registered again since the store is up. */
  #renewedBy(now: number): number {
    const upSince = this.#contact.upSince(now);
    return upSince === undefined ? Infinity : upSince + RENEWAL_GRACE_MS;
  }

  #hold(
    until: number,
    { now, source, lostMs }: {
      readonly now: number;
      readonly source: OutageSource;
      readonly lostMs?: number;
    },
  ): void {
    if (until <= this.#holdUntil) return;
    this.#holdUntil = until;
    const upSince = this.#contact.upSince(now);
    this.#log.event("store_outage_assessed", {
      source,
      lostMs: lostMs === undefined ? undefined : Math.round(lostMs),
      upMs: upSince === undefined ? undefined : Math.round(now - upSince),
      holdMs: Math.round(this.holdMs(now)),
    });
  }
}
