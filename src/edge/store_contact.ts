/**
 * Tracks for how long the store has answered this instance and its peers without
 * a break.
 *
 * An instance that hears nothing of the store knows nothing about it: it may be
 * starting, partitioned, or not be one of the instances that watch the store.
 * Only answers show that the store was up.
 *
 * @module
 */

/**
 * Longest pause between two answers within one contact, in milliseconds. A
 * watcher of the store gets one every 0.83 s, and up to 0.5 s later after a
 * series of changes. No entry expires within it.
 */
const MAX_PAUSE_MS = 2_000;
/** How long a peer's report counts, in milliseconds: a few gossip periods. */
const REPORT_TTL_MS = 1_000;
/** Peers report whole seconds, rounded down. */
const REPORT_ROUNDING_MS = 1_000;

/**
 * Longest time from the last contact to the first failed call, in milliseconds:
 * a silent store shows when a call is overdue, and to an instance that takes over
 * the watch somewhat later. A longer silence is a pause of this process.
 */
const MAX_NOTICE_MS = 5_500;

interface PeerReport {
  readonly since: number;
  readonly at: number;
}

/**
 * Contact of one instance and its peers with the store.
 *
 * @example
 * ```ts
 * contact.answered(clock.now());
 * contact.reported(30_000, clock.now()); // a peer's digest
 * contact.upSince(clock.now()); // 30 s ago
 * ```
 */
export class StoreContact {
  #since: number | undefined;
  #answeredAt = -Infinity;
  /** The longest contact that peers have lately reported. */
  #report: PeerReport | undefined;
  /** When a peer last reported a contact. */
  #reportedAt = -Infinity;

  /** Records that the store answered a call of this instance. */
  answered(now: number): void {
    if (!this.isRecent(now)) this.#since = now;
    this.#answeredAt = now;
  }

  /** Records the length of a peer's contact up to now, in milliseconds. */
  reported(lengthMs: number, now: number): void {
    if (lengthMs <= 0) return;
    this.#reportedAt = now;
    const since = now - lengthMs;
    const known = this.#recentReport(now)?.since ?? since;
    if (since - known > REPORT_ROUNDING_MS) return;
    this.#report = { since: Math.min(since, known), at: now };
  }

  /** When the store was last known to be up, for an instance whose calls fail. */
  lastUpAt(now: number): number {
    const lastUpAt = Math.max(this.#answeredAt, this.#reportedAt);
    return now - lastUpAt <= MAX_NOTICE_MS ? lastUpAt : now;
  }

  /** Whether the store answered this instance lately. */
  isRecent(now: number): boolean {
    return now - this.#answeredAt <= MAX_PAUSE_MS;
  }

  /** Length of this instance's contact up to the last answer; 0 if it ended. */
  lengthMs(now: number): number {
    if (this.#since === undefined || !this.isRecent(now)) return 0;
    return this.#answeredAt - this.#since;
  }

  /**
   * Since when the store has been up without a break, as far as this instance
   * and its peers know; undefined if nobody is in contact with it.
   */
  upSince(now: number): number | undefined {
    const own = this.isRecent(now) ? this.#since : undefined;
    const peers = this.#recentReport(now)?.since;
    if (own === undefined || peers === undefined) return own ?? peers;
    return Math.min(own, peers);
  }

  #recentReport(now: number): PeerReport | undefined {
    const report = this.#report;
    const counts = report !== undefined && now - report.at <= REPORT_TTL_MS;
    return counts ? report : undefined;
  }
}
