/**
 * How late the event loop reads what sockets have received.
 *
 * A process that is stopped or busy reads a request and the close of its
 * connection long after both arrived, and learns the time of neither.
 *
 * @module
 */
import type { Clock, Log, Metrics, Timer } from "../core/mod.ts";

/** Interval of the checks, in milliseconds. */
const CHECK_MS = 50;
/** Lag from which the loop counts as late, in milliseconds. */
const LATE_MS = 100;
/** Minimum interval between log lines. */
const LOG_INTERVAL_MS = 1_000;

/** Dependencies of the measurement. */
export interface EventLoopLagOptions {
  readonly clock: Clock;
  readonly log: Log;
  readonly metrics: Metrics;
}

/** Lets a request wait for what sockets have received. */
export interface LateReads {
  /** Whether sockets may hold bytes that arrived some time ago. */
  readonly isLate: boolean;
  /** Resolves when all sockets have been read once more. */
  nextRead(): Promise<void>;
}

/** Whether what may have lain unread for this time was read late. */
export function isReadLate(unreadMs: number): boolean {
  return unreadMs > LATE_MS;
}

/**
 * Measures the lag of this process's event loop.
 *
 * @example
 * ```ts
 * const lag = new EventLoopLag({ clock, log, metrics });
 * if (lag.isLate) await lag.nextRead();
 * lag.close();
 * ```
 */
export class EventLoopLag implements LateReads {
  readonly #opts: EventLoopLagOptions;
  /** What arrived before this was read. */
  #readUntil: number;
  #loggedAt = -Infinity;
  #timer: Timer;

  constructor(opts: EventLoopLagOptions) {
    this.#opts = opts;
    this.#readUntil = opts.clock.now();
    this.#timer = this.#nextCheck();
  }

  /**
   * Upper bound of the time for which bytes on an open connection may have lain
   * unread, in milliseconds.
   */
  get ms(): number {
    return this.#opts.clock.now() - this.#readUntil;
  }

  get isLate(): boolean {
    return isReadLate(this.ms);
  }

  nextRead(): Promise<void> {
    // The loop reads its sockets between two rounds of immediates.
    return new Promise((resolve) =>
      setImmediate(() => setImmediate(() => resolve()))
    );
  }

  /** Stops the measurement. */
  close(): void {
    this.#timer.close();
  }

  #nextCheck(): Timer {
    return this.#opts.clock.after(CHECK_MS, () => this.#check());
  }

  #check(): void {
    const { clock, log, metrics } = this.#opts;
    const now = clock.now();
    const lagMs = this.ms - CHECK_MS;
    this.#timer = this.#nextCheck();
    // The loop reads its sockets between timers and immediates.
    setImmediate(() => this.#readUntil = now);
    if (lagMs <= LATE_MS) return;
    metrics.timing("loop.lag", lagMs);
    if (now - this.#loggedAt < LOG_INTERVAL_MS) return;
    this.#loggedAt = now;
    log.event("loop_late", { lagMs: Math.round(lagMs) });
  }
}
