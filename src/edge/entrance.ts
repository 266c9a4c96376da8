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

/**
 * Longest time for which requests are started in one turn while connections wait
 * to be accepted, in milliseconds.
 */
const SLICE_MS = 5;
/** One in this many connections is read whatever waits. */
const READ_EVERY = 4;
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
  /** End of the last turn that started requests. */
  #startsFrom = 0;
  #overrunConnections = 0;
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
    if (!this.#isHeld() || !this.#hold.isOverrun) return undefined;
    if (++this.#overrunConnections % READ_EVERY === 0) return undefined;
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
    let started = 0;
    while (this.#mayStartNext(began)) {
      const next = this.#queue.take();
      if (next === undefined) break;
      started++;
      metrics.count("entrance.requests", { result: "started" });
      next.resolve(undefined);
      // Lets the request be sent, which takes part of the slice.
      await Promise.resolve();
    }
    this.#recordStarts(started, began);
    // The loop reads its sockets before the next call, so that all that wait now
    // are ready then.
    this.#turn++;
    this.#run();
  }

  /** Whether another request may be started in a turn that began at a time. */
  #mayStartNext(began: number): boolean {
    if (this.#isHeld()) return false;
    return this.#acceptMs === 0 || this.#opts.clock.now() < began + SLICE_MS;
  }

  /**
   * Measures the time of starts: that of the whole turn while more could have
   * been started, else only that of the starts.
   */
  #recordStarts(started: number, began: number): void {
    const now = this.#opts.clock.now();
    const isLimited = this.#queue.hasReady;
    if (!isLimited) this.#startsFrom = began;
    this.#queue.recordStarts(started, now - this.#startsFrom);
    if (started > 0 || !isLimited) this.#startsFrom = now;
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
