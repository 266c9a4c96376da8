/**
 * Starts the requests of an instance: at once, or once its event loop has caught
 * up with what its sockets have received.
 *
 * @module
 */
import type {
  CancelSignal,
  Clock,
  Failure,
  Log,
  Metrics,
} from "../core/mod.ts";
import {
  AcceptHold,
  EntryQueue,
  type QueuedRequest,
} from "../decisions/entrance/mod.ts";
import type { AcceptLag } from "./accept_lag.ts";
import { isReadLate } from "./event_loop_lag.ts";

/** Longest time for which waiting requests are started in one turn, in ms. */
const SLICE_MS = 5;
/** Minimum interval between log lines. */
const LOG_INTERVAL_MS = 1_000;

/** Dependencies of the entrance. */
export interface EntranceOptions {
  readonly clock: Clock;
  readonly log: Log;
  readonly metrics: Metrics;
}

/** A request that is to be started. */
export interface EntryRequest {
  /** Priority; 0 is the most urgent. */
  readonly rank: number;
  readonly clientTimeoutMs: number;
  /** Aborted when the caller leaves. */
  readonly signal: CancelSignal;
}

/** Requests of all listeners of an instance share its processor. */
export class Entrance {
  readonly #opts: EntranceOptions;
  readonly #listeners = new Set<AcceptLag>();
  readonly #hold = new AcceptHold();
  readonly #queue = new EntryQueue<Waiting>();
  /** Turns of the event loop while requests wait. */
  #turn = 0;
  #isRunning = false;
  #refused = 0;
  #loggedAt = -Infinity;

  constructor(opts: EntranceOptions) {
    this.#opts = opts;
  }

  /** Adds a listener whose connections have to be accepted. */
  add(listener: AcceptLag): void {
    this.#listeners.add(listener);
  }

  /**
   * Whether a request may be started at once. Not so if it lay unread for long,
   * since its caller may have left and the close is still unread.
   */
  mayStart(unreadMs: number): boolean {
    return this.#queue.size === 0 && !isReadLate(unreadMs) && !this.#isHeld();
  }

  /**
   * Why a new connection is refused before anything is read from it; undefined if
   * it is not. Reading requests that are refused anyway would take the time in
   * which others are served.
   */
  refuseConnection(): Failure | undefined {
    if (!this.#isHeld()) return undefined;
    if (!this.#hold.isOverrun && !this.#queue.isFull) return undefined;
    const why = this.#queue.refuse(Infinity, this.#opts.clock.now());
    this.#recordRefusal("unread", why);
    return why;
  }

  /**
   * Resolves when a request may be started, or has lost its caller; with a
   * failure if it is refused.
   */
  wait(request: EntryRequest): Promise<Failure | undefined> {
    const { clock } = this.#opts;
    return new Promise((resolve) => {
      const { rank, clientTimeoutMs } = request;
      const addedIn = this.#turn;
      const currentTurn = () => this.#turn;
      const waiting: Waiting = {
        rank,
        clientTimeoutMs,
        resolve,
        get isReady() {
          return currentTurn() > addedIn;
        },
      };
      const why = this.#queue.add(waiting, clock.now());
      if (why !== undefined) {
        this.#recordRefusal("refused", why);
        return resolve(why);
      }
      request.signal.addEventListener("abort", () => {
        this.#queue.remove(waiting);
        resolve(undefined);
      });
      if (!this.#isRunning) this.#run();
    });
  }

  #run(): void {
    this.#isRunning = this.#queue.size > 0;
    if (this.#isRunning) setImmediate(() => void this.#serveTurn());
  }

  async #serveTurn(): Promise<void> {
    const { clock, metrics } = this.#opts;
    const began = clock.now();
    for (const { request, why } of this.#queue.expire(began)) {
      this.#recordRefusal("expired", why);
      request.resolve(why);
    }
    while (!this.#isHeld() && clock.now() < began + SLICE_MS) {
      const next = this.#queue.take(clock.now());
      if (next === undefined) break;
      metrics.count("entrance.requests", { result: "started" });
      next.resolve(undefined);
      // Lets the request be sent, which takes part of the slice.
      await Promise.resolve();
    }
    // The loop reads its sockets before the next call, so that all that wait now
    // are ready then.
    this.#turn++;
    this.#run();
  }

  #recordRefusal(result: "unread" | "refused" | "expired", why: Failure): void {
    const { clock, log, metrics } = this.#opts;
    metrics.count("entrance.requests", { result });
    this.#refused++;
    const now = clock.now();
    if (now - this.#loggedAt < LOG_INTERVAL_MS) return;
    this.#loggedAt = now;
    log.event("entrance_overloaded", {
      waiting: this.#queue.size,
      refused: this.#refused,
      acceptMs: Math.round(this.#acceptMs),
      retryAfterMs: Math.round(why.retryAfterMs ?? 0),
    });
    this.#refused = 0;
  }

  /** How long connections have waited to be accepted, in milliseconds. */
  get #acceptMs(): number {
    let acceptMs = 0;
    for (const { ms } of this.#listeners) acceptMs = Math.max(acceptMs, ms);
    return acceptMs;
  }

  #isHeld(): boolean {
    return this.#hold.isHeld(this.#acceptMs, this.#opts.clock.now());
  }
}

/** A request in the queue. */
interface Waiting extends QueuedRequest {
  /** Starts it, or refuses it with a failure. */
  readonly resolve: (why: Failure | undefined) => void;
}
