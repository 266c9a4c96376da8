/**
 * Times an instance's waiting calls to the store, and detects connections that
 * have gone silent.
 *
 * A half-open connection shows only when a call on it is overdue. Each kind of
 * object has a waiting call of its own, so the calls of the kinds end at evenly
 * spaced times, and one overdue call makes those of the other kinds suspect too.
 * A change ends the calls of its kind at every instance at once; the call after
 * it is shorter, which puts it back at its time.
 *
 * Load: in calm operation one call per kind and period.
 *
 * @module
 */
import type { Clock, Failure, Log, Random, Timer } from "../core/mod.ts";
import type { Result } from "neverthrow";
import type { Changes, WatchOptions } from "./resource_client.ts";

/**
 * Interval between the ends of a kind's calls, in milliseconds. With three kinds
 * a call ends every 0.83 s. Calls to the store are priced: this is 1.2 times as
 * many as with an interval of 3 s.
 */
const PERIOD_MS = 2_500;
/**
 * A call that would be shorter ends a period later, in milliseconds: the last
 * one was answered just before its time.
 */
const MIN_WAIT_MS = 100;
/**
 * Delay after a call should have ended until a second one checks whether its
 * connection is silent, in milliseconds. A slow store takes a few hundred. A
 * change has to be in force 2 s after a silence begins: 0.83 s until a call is
 * due, up to 0.5 s more after a series of changes, and this delay leave 0.15 s.
 */
const SUSPECT_AFTER_MS = 500;
/** Timeout of a call that only reads past changes, in milliseconds. */
const IMMEDIATE_TIMEOUT_MS = 1;

type WatchResult<T> = Result<Changes<T>, Failure>;

/** Waits up to `waitMs` for changes of one kind. */
export type WatchCall<T> = (
  waitMs: number,
  signal: AbortSignal,
  opts?: WatchOptions,
) => Promise<WatchResult<T>>;

/** Dependencies of the calls. */
export interface WatchCallsOptions {
  readonly kinds: readonly string[];
  readonly clock: Clock;
  readonly random: Random;
  readonly log: Log;
  /** Uses no connection opened before now for further calls. */
  readonly renewConnections: () => void;
}

/** The waiting calls of one instance, one per kind. */
export class WatchCalls {
  readonly #opts: WatchCallsOptions;
  /** A time at which the call of the first kind is due. */
  readonly #originMs: number;
  readonly #waiting = new Map<string, Pick<WaitingCall<unknown>, "repeat">>();
  #renewedAt = -Infinity;

  constructor(opts: WatchCallsOptions) {
    this.#opts = opts;
    // Instances that start together must not make their calls together.
    this.#originMs = opts.clock.now() + opts.random.next() * PERIOD_MS;
  }

  /** Waits for changes of a kind until its next due time. */
  async watch<T>(
    kind: string,
    call: WatchCall<T>,
    signal: AbortSignal,
  ): Promise<WatchResult<T>> {
    const { clock } = this.#opts;
    const waiting = new WaitingCall(call, {
      waitMs: this.#waitMs(kind),
      clock,
      signal,
      onSilent: (startedAt) => this.#onSilent(kind, startedAt),
    });
    this.#waiting.set(kind, waiting);
    const result = await waiting.result;
    this.#waiting.delete(kind);
    return result;
  }

  /** Time until the kind's next due time. */
  #waitMs(kind: string): number {
    const { kinds, clock } = this.#opts;
    const slot = Math.max(0, kinds.indexOf(kind)) / kinds.length;
    const sinceMs = clock.now() - this.#originMs - slot * PERIOD_MS;
    const leftMs = PERIOD_MS - modulo(sinceMs, PERIOD_MS);
    return Math.round(leftMs < MIN_WAIT_MS ? leftMs + PERIOD_MS : leftMs);
  }

  /** Repeats the other kinds' calls that are older than the proof. */
  #onSilent(kind: string, startedAt: number): void {
    if (startedAt < this.#renewedAt) return;
    const { clock, log, renewConnections } = this.#opts;
    this.#renewedAt = clock.now();
    const others = [...this.#waiting].filter(([other]) => other !== kind);
    log.event("store_connection_silent", { kind, repeated: others.length });
    renewConnections();
    for (const [, waiting] of others) waiting.repeat();
  }
}

interface WaitingCallOptions {
  readonly waitMs: number;
  readonly clock: Clock;
  readonly signal: AbortSignal;
  /** The store answered a second call while the first is overdue. */
  readonly onSilent: (startedAt: number) => void;
}

/** A waiting call and, once it is suspect, a second one on a new connection. */
class WaitingCall<T> {
  readonly result: Promise<WatchResult<T>>;
  readonly #call: WatchCall<T>;
  readonly #opts: WaitingCallOptions;
  readonly #startedAt: number;
  readonly #timer: Timer;
  readonly #first = new AbortController();
  readonly #second = new AbortController();
  readonly #onAbort = () => this.#abortBoth();
  #resolve: (result: WatchResult<T>) => void = () => {};
  /** Calls that have no result yet. */
  #open = 0;
  #hasSecond = false;

  constructor(call: WatchCall<T>, opts: WaitingCallOptions) {
    const { waitMs, clock, signal } = opts;
    this.#call = call;
    this.#opts = opts;
    this.#startedAt = clock.now();
    this.result = new Promise((resolve) => this.#resolve = resolve);
    signal.addEventListener("abort", this.#onAbort, { once: true });
    this.#timer = clock.after(
      waitMs + SUSPECT_AFTER_MS,
      () => this.#readAgain(() => opts.onSilent(this.#startedAt)),
    );
    this.#run(call(waitMs, this.#first.signal));
  }

  /** Ends the first call and reads the changes on another connection. */
  repeat(): void {
    this.#readAgain();
    this.#first.abort();
  }

  #readAgain(onAnswer?: () => void): void {
    if (this.#hasSecond) return;
    this.#hasSecond = true;
    const opts = { newConnection: true };
    const { signal } = this.#second;
    this.#run(this.#call(IMMEDIATE_TIMEOUT_MS, signal, opts), onAnswer);
  }

  #run(reading: Promise<WatchResult<T>>, onAnswer?: () => void): void {
    this.#open++;
    void reading.then((result) => {
      this.#open--;
      if (!isAnswer(result) && this.#open > 0) return;
      const isSilent = isAnswer(result) && !this.#first.signal.aborted;
      this.#finish(result);
      if (isSilent) onAnswer?.();
    });
  }

  #finish(result: WatchResult<T>): void {
    this.#timer.close();
    this.#opts.signal.removeEventListener("abort", this.#onAbort);
    this.#abortBoth();
    this.#resolve(result);
  }

  #abortBoth(): void {
    this.#first.abort();
    this.#second.abort();
  }
}

/** Whether the store answered, rather than failed or was not reached. */
function isAnswer(result: WatchResult<unknown>): boolean {
  return result.isOk() || result.error.code === "history_lost";
}

function modulo(n: number, divisor: number): number {
  return ((n % divisor) + divisor) % divisor;
}
