/**
 * How long connections wait in the system's queue of a listener.
 *
 * Load: more new connections a second than the event loop has turns. The loop
 * accepts one connection of a listener in a turn, so that the others wait, with
 * the requests that callers have sent on them, although no turn takes long.
 *
 * @module
 */
import type { Clock } from "../core/mod.ts";
import type { EventLoopLag } from "./event_loop_lag.ts";

/** Measures the queue of one listener. */
export class AcceptLag {
  readonly #clock: Clock;
  readonly #loop: EventLoopLag;
  /** When the queue was last known to be empty; undefined while it is. */
  #emptyAt: number | undefined;
  #accepted = false;

  constructor(clock: Clock, loop: EventLoopLag) {
    this.#clock = clock;
    this.#loop = loop;
  }

  /** Upper bound of the time for which connections have waited, in milliseconds. */
  get ms(): number {
    return this.#emptyAt === undefined ? 0 : this.#clock.now() - this.#emptyAt;
  }

  /** Records that a connection was accepted; returns how long it waited at most. */
  accepted(): number {
    this.#accepted = true;
    if (this.#emptyAt === undefined) {
      this.#emptyAt = this.#clock.now() - this.#loop.ms;
      setImmediate(() => this.#endTurn());
    }
    return this.ms;
  }

  /** The queue is empty once a turn accepts nothing. */
  #endTurn(): void {
    if (!this.#accepted) {
      this.#emptyAt = undefined;
      return;
    }
    this.#accepted = false;
    setImmediate(() => this.#endTurn());
  }
}
