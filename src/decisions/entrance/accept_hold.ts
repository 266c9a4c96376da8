/**
 * When an instance accepts connections before it starts further requests.
 *
 * Load: more new connections a second than an instance can serve. Its event loop
 * accepts one in each turn, so if it starts a request in each turn too, the
 * others wait in the system's queue, where neither their age nor their callers'
 * departure shows, and are served too late. Accepting takes a fraction of the
 * time of serving; once the queue is empty, requests wait where they can be
 * refused and where their callers' departure is noticed.
 *
 * @module
 */

/** How long connections may wait to be accepted, in milliseconds. */
const MAX_ACCEPT_MS = 50;
/** Longest time without a start, in milliseconds. */
const MAX_HOLD_MS = 100;
/** Wait from which connections are too many to be read, in milliseconds. */
const MAX_BACKLOG_MS = 250;

/** Decides whether requests are held while connections are accepted. */
export class AcceptHold {
  #holdsSince: number | undefined;
  #startsSince = -Infinity;
  #isOverrun = false;

  /**
   * Whether a hold ended before all connections were accepted, and they have not
   * been since: more arrive than can be read.
   */
  get isOverrun(): boolean {
    return this.#isOverrun;
  }

  /**
   * Whether to start no request now.
   *
   * @param acceptMs How long connections have waited to be accepted.
   *
   * @example
   * ```ts
   * if (!hold.isHeld(acceptLag.ms, clock.now())) startNext();
   * ```
   */
  isHeld(acceptMs: number, now: number): boolean {
    if (acceptMs === 0) {
      this.#holdsSince = undefined;
      this.#startsSince = now;
      this.#isOverrun = false;
      return false;
    }
    if (this.#holdsSince !== undefined) {
      if (now - this.#holdsSince < MAX_HOLD_MS) return true;
      this.#holdsSince = undefined;
      this.#startsSince = now;
      this.#isOverrun = acceptMs > MAX_BACKLOG_MS;
      return false;
    }
    if (acceptMs <= MAX_ACCEPT_MS) return false;
    if (now - this.#startsSince < MAX_ACCEPT_MS) return false;
    this.#holdsSince = now;
    return true;
  }
}
