/**
 * Order and refusal of requests that wait to be started.
 *
 * Load: more requests than the processor of an instance can serve, or all that
 * arrived while it was suspended at once. If each is started in order of arrival,
 * all wait until their callers have given up, and less is answered the more
 * arrive. Here the most urgent are started first, and a request is refused when
 * it arrives if those before it take too long, so that its caller can turn to
 * another instance at once.
 *
 * @module
 */
import { type Failure, failure } from "../../core/mod.ts";
import { RetryAfterSchedule } from "../limits/mod.ts";

/** Longest wait of a request, in milliseconds. */
export const MAX_WAIT_MS = 250;
/** Largest share of a caller's timeout that may be spent waiting. */
const MAX_TIMEOUT_SHARE = 0.125;
/** A request that waited this many times its longest wait is refused. */
const EXPIRY_FACTOR = 2;
const MAX_RETRY_AFTER_MS = 1_000;
/** Time that a start takes until it is measured, in milliseconds. */
const INITIAL_START_MS = 1;
/** Weight of one start in the average time that a start takes. */
const START_WEIGHT = 0.05;

/** A request that waits. */
export interface QueuedRequest {
  /** Priority; 0 is the most urgent. */
  readonly rank: number;
  /** How long the caller waits for a response, in milliseconds. */
  readonly clientTimeoutMs: number;
  /** Whether it may be started; true for all that were added before it too. */
  readonly isReady: boolean;
}

/** A request, and when it was added. */
interface Queued<T> {
  readonly request: T;
  readonly at: number;
}

/** Requests of one instance that wait to be started. */
export class EntryQueue<T extends QueuedRequest> {
  /** By rank, in order of arrival. */
  readonly #ranks = new Map<number, Queued<T>[]>();
  readonly #retryAfter = new RetryAfterSchedule(MAX_RETRY_AFTER_MS);
  /** Average time that a start takes, in milliseconds. */
  #startMs = INITIAL_START_MS;

  get size(): number {
    return this.#countUpTo(Infinity);
  }

  /** Why a request of a rank is refused, and when its caller may return. */
  refuse(rank: number, now: number): Failure {
    const waitMs = this.#waitMs(rank);
    return failure("not_ready", "this instance is overloaded", {
      outcome: "not-run",
      retryAfterMs: this.#retryAfter.next(now, waitMs, this.#startMs),
    });
  }

  /**
   * Adds a request; returns why it is refused if it could not be started in time.
   *
   * @example
   * ```ts
   * const refusal = queue.add(request, clock.now());
   * ```
   */
  add(request: T, now: number): Failure | undefined {
    const waitMs = this.#waitMs(request.rank);
    if (waitMs > maxWaitMs(request)) return this.refuse(request.rank, now);
    const queue = this.#ranks.get(request.rank);
    const queued = { request, at: now };
    if (queue === undefined) this.#ranks.set(request.rank, [queued]);
    else queue.push(queued);
    return undefined;
  }

  /** Whether a request waits that may be started. */
  get hasReady(): boolean {
    for (const [first] of this.#ranks.values()) {
      if (first?.request.isReady) return true;
    }
    return false;
  }

  /** Records how long it took to start a number of requests, in milliseconds. */
  recordStarts(started: number, tookMs: number): void {
    if (started === 0) return;
    const weight = 1 - (1 - START_WEIGHT) ** started;
    this.#startMs += weight * (tookMs / started - this.#startMs);
  }

  /** Removes and returns the next request that may be started. */
  take(): T | undefined {
    for (const rank of this.#ranksInOrder()) {
      const queue = this.#ranks.get(rank) ?? [];
      const request = queue[0]?.request;
      if (!request?.isReady) continue;
      this.#removeAt(0, rank, queue);
      return request;
    }
    return undefined;
  }

  /** Removes a request whose caller has left. */
  remove(request: T): void {
    const { rank } = request;
    const queue = this.#ranks.get(rank) ?? [];
    const index = queue.findIndex((queued) => queued.request === request);
    if (index >= 0) this.#removeAt(index, rank, queue);
  }

  /** Removes and returns the requests that have waited too long. */
  expire(now: number): { readonly request: T; readonly why: Failure }[] {
    const expired = [];
    for (const rank of this.#ranksInOrder()) {
      const queue = this.#ranks.get(rank) ?? [];
      for (;;) {
        const [first] = queue;
        if (first === undefined) break;
        const { request, at } = first;
        if (now - at <= EXPIRY_FACTOR * maxWaitMs(request)) break;
        this.#removeAt(0, rank, queue);
        expired.push({ request, why: this.refuse(rank, now) });
      }
    }
    return expired;
  }

  /** Expected wait of a new request of this rank, in milliseconds. */
  #waitMs(rank: number): number {
    return this.#countUpTo(rank) * this.#startMs;
  }

  /** Number of requests that are started before a new one of this rank. */
  #countUpTo(rank: number): number {
    let count = 0;
    for (const [other, queue] of this.#ranks) {
      if (other <= rank) count += queue.length;
    }
    return count;
  }

  #ranksInOrder(): number[] {
    return [...this.#ranks.keys()].sort((a, b) => a - b);
  }

  #removeAt(index: number, rank: number, queue: Queued<T>[]): void {
    queue.splice(index, 1);
    if (queue.length === 0) this.#ranks.delete(rank);
  }
}

function maxWaitMs({ clientTimeoutMs }: QueuedRequest): number {
  return Math.min(MAX_WAIT_MS, clientTimeoutMs * MAX_TIMEOUT_SHARE);
}
