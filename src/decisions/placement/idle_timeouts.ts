/**
 * How long a keep-alive connection may be idle and still be reused.
 *
 * Failure: endpoints, or middleboxes in front of them, drop idle connections
 * sooner than advertised. A request sent on one is reset, and it is unknown
 * whether it ran, so a request that is not idempotent fails for its caller.
 * Without keep-alive, each request would wait for a new connection and cost the
 * endpoint a handshake.
 *
 * When a connection breaks on its first request after an idle time, half of
 * that time is the new limit; each successful reuse raises the limit by 10%.
 *
 * @module
 */

/** Used where the endpoint advertises no keep-alive timeout. */
const DEFAULT_IDLE_MS = 4_000;
/**
 * Subtracted from the advertised timeout: the endpoint's close may be delayed by
 * the network, and a timer here may fire late.
 */
const CLOSE_MARGIN_MS = 1_500;
/** A longer limit gains little: few affinity keys' requests come so seldom. */
const MAX_IDLE_MS = 8_500;
/** A reset after less idle time may have nothing to do with the idle time. */
const MIN_IDLE_MS = 50;
const RESET_FACTOR = 0.5;
const REUSE_FACTOR = 1.1;

interface IdleTimeout {
  advertisedMs: number;
  /** The limit learned from resets and reuses. */
  learnedMs: number;
}

/** The other side of a connection; its identity is that of the object. */
type Remote = object;

/** Idle timeouts of one instance, by remote. */
export class IdleTimeouts {
  readonly #timeouts = new WeakMap<Remote, IdleTimeout>();

  /** The longest idle time of a connection that is reused, in milliseconds. */
  of(remote: Remote): number {
    const { advertisedMs, learnedMs } = this.#timeoutOf(remote);
    return Math.min(advertisedMs, learnedMs);
  }

  /** Records the keep-alive timeout that the endpoint advertised. */
  stated(remote: Remote, keepAliveMs: number): void {
    const advertisedLimitMs = Math.min(
      MAX_IDLE_MS,
      keepAliveMs - CLOSE_MARGIN_MS,
    );
    this.#timeoutOf(remote).advertisedMs = Math.max(0, advertisedLimitMs);
  }

  /** Records that a connection broke on its first request after an idle time. */
  lost(remote: Remote, idleMs: number): void {
    const timeout = this.#timeoutOf(remote);
    const reducedMs = Math.min(timeout.learnedMs, idleMs * RESET_FACTOR);
    timeout.learnedMs = Math.max(MIN_IDLE_MS, reducedMs);
  }

  /** Records that an idle connection served a request. */
  reused(remote: Remote): void {
    const timeout = this.#timeoutOf(remote);
    timeout.learnedMs = Math.min(MAX_IDLE_MS, timeout.learnedMs * REUSE_FACTOR);
  }

  #timeoutOf(remote: Remote): IdleTimeout {
    const known = this.#timeouts.get(remote);
    if (known !== undefined) return known;
    const fresh = { advertisedMs: DEFAULT_IDLE_MS, learnedMs: MAX_IDLE_MS };
    this.#timeouts.set(remote, fresh);
    return fresh;
  }
}
