/**
 * Bounds the bytes that an instance buffers for callers and endpoints.
 *
 * Bodies of requests are admitted by their rank before they are read; responses
 * are counted, but never refused, since their requests have run. While responses
 * exceed the budget, further requests are refused instead.
 *
 * Load: one decision for each request, constant time, without allocations other
 * than the reservation.
 *
 * @module
 */
import { ok, type Result } from "neverthrow";
import { fail, type Failure } from "../../core/mod.ts";

/**
 * Share of the budget that each rank leaves to the next more urgent one. Rank 0
 * may use all, 1 nine tenths, 2 eight tenths.
 */
const SHARE_PER_RANK = 0.1;
/** The least urgent ranks may use this share, so that few bodies still fit. */
const MIN_SHARE = 0.7;
/**
 * Below this use of the budget a body may exceed the share of its rank, as a
 * large one would never fit otherwise.
 */
const NEARLY_UNUSED_SHARE = 0.1;

/** Time constant of the average rate of releases, in milliseconds. */
const RELEASE_RATE_TIME_MS = 2_000;
const MIN_RETRY_AFTER_MS = 100;
const MAX_RETRY_AFTER_MS = 5_000;

/** Bytes that one request holds. */
export class Reservation {
  readonly #budget: ByteBudget;
  #bytes = 0;

  constructor(budget: ByteBudget) {
    this.#budget = budget;
  }

  get bytes(): number {
    return this.#bytes;
  }

  /** Counts further bytes, whether they fit or not. */
  add(bytes: number): void {
    this.#bytes += bytes;
    this.#budget.change(bytes);
  }

  /** Counts further bytes if they fit; returns whether they do. */
  tryAdd(bytes: number, rank: number): boolean {
    if (!this.#budget.fits(bytes, rank)) return false;
    this.add(bytes);
    return true;
  }

  /** Moves some of the bytes to a reservation of their own. */
  split(bytes: number): Reservation {
    const other = this.#budget.open();
    other.#bytes = Math.min(bytes, this.#bytes);
    this.#bytes -= other.#bytes;
    return other;
  }

  /** Releases some of the bytes. */
  subtract(bytes: number, now: number): void {
    const released = Math.min(bytes, this.#bytes);
    this.#bytes -= released;
    this.#budget.change(-released);
    this.#budget.released(released, now);
  }

  /** Releases all bytes; later calls do nothing. */
  release(now: number): void {
    this.subtract(this.#bytes, now);
  }
}

/** The budget of one instance. */
export class ByteBudget {
  readonly limitBytes: number;
  #used = 0;
  #releasedPerMs = 0;
  #rateAt = 0;

  constructor(limitBytes: number) {
    this.limitBytes = limitBytes;
  }

  /** Bytes that are buffered; responses may exceed the limit. */
  get usedBytes(): number {
    return this.#used;
  }

  /**
   * Reserves memory for a request's body, which may have no bytes.
   *
   * Failures: `not_ready` with the time until as many bytes are released at the
   * present rate.
   *
   * @param rank The request's rank; 0 is the most urgent.
   *
   * @example
   * ```ts
   * const reserved = budget.reserve(length, route.priority, clock.now());
   * if (reserved.isOk()) reserved.value.release(clock.now());
   * ```
   */
  reserve(
    bytes: number,
    rank: number,
    now: number,
  ): Result<Reservation, Failure> {
    const reservation = new Reservation(this);
    if (reservation.tryAdd(bytes, rank)) return ok(reservation);
    return fail(
      "not_ready",
      `${this.#used} of ${this.limitBytes} bytes are buffered; ${bytes} more do not fit`,
      {
        outcome: "not-run",
        retryAfterMs: this.#retryAfterMs(bytes, rank, now),
      },
    );
  }

  /** A reservation without bytes, for what is counted but not refused. */
  open(): Reservation {
    return new Reservation(this);
  }

  fits(bytes: number, rank: number): boolean {
    const total = this.#used + bytes;
    if (total > this.limitBytes) return false;
    if (bytes === 0) return true;
    return total <= this.#allowedBytes(rank) ||
      this.#used <= this.limitBytes * NEARLY_UNUSED_SHARE;
  }

  change(bytes: number): void {
    this.#used += bytes;
  }

  released(bytes: number, now: number): void {
    this.#releasedPerMs = this.#rate(now) + bytes / RELEASE_RATE_TIME_MS;
    this.#rateAt = now;
  }

  #allowedBytes(rank: number): number {
    return this.limitBytes * Math.max(MIN_SHARE, 1 - SHARE_PER_RANK * rank);
  }

  #retryAfterMs(bytes: number, rank: number, now: number): number {
    const missing = this.#used + bytes - this.#allowedBytes(rank);
    const waitMs = missing / this.#rate(now);
    return Math.min(MAX_RETRY_AFTER_MS, Math.max(MIN_RETRY_AFTER_MS, waitMs));
  }

  #rate(now: number): number {
    const ageMs = Math.max(0, now - this.#rateAt);
    return this.#releasedPerMs * Math.exp(-ageMs / RELEASE_RATE_TIME_MS);
  }
}
