/**
 * Holds the first requests until an instance knows what to steer by.
 *
 * The load it answers: after all instances of a region have lost power, callers
 * are there again before the plan is read, which takes two ways to the store.
 * Sent away, each has spent one of its few retries and comes back half a second
 * later, all of them together, on an instance that is still warming up; held,
 * they are served a few hundred milliseconds late.
 *
 * What cannot be known soon must not hold callers up: the wait is short, leaves
 * most of a caller's time for the work itself, and only so many wait.
 *
 * @module
 */
import type { CancelSignal, Clock } from "../../core/mod.ts";

/** The longest wait, in milliseconds: a listing from the farthest region. */
const LONGEST_WAIT_MS = 500;
/** Part of the time a caller has that may pass with waiting. */
const MAX_TIMEOUT_PART = 0.25;
/** Requests that may wait at once; each holds its body in memory. */
const MOST_WAITING = 256;

/** A request that came early. */
export interface EarlyRequest {
  /** How long its caller waits, in milliseconds. */
  readonly clientTimeoutMs: number;
  /** Ends when the caller has gone. */
  readonly signal: CancelSignal;
}

/** The gate of one instance: closed at its start, and open for good after. */
export class StartGate {
  readonly #clock: Clock;
  readonly #waiting = new Set<() => void>();
  #isOpen = false;

  constructor(clock: Clock) {
    this.#clock = clock;
  }

  get isOpen(): boolean {
    return this.#isOpen;
  }

  /** Requests that wait. */
  get waiting(): number {
    return this.#waiting.size;
  }

  /** Lets everything pass from now on, in the order in which it came. */
  open(): void {
    this.#isOpen = true;
    for (const go of [...this.#waiting]) go();
  }

  /**
   * Resolves when the gate opens, when the request has waited long enough, or
   * when its caller leaves; at once where it is open or too many wait.
   *
   * @example
   * ```ts
   * if (!gate.isOpen) await gate.pass({ clientTimeoutMs: 2_000, signal });
   * ```
   */
  pass({ clientTimeoutMs, signal }: EarlyRequest): Promise<void> {
    const full = this.#waiting.size >= MOST_WAITING;
    if (this.#isOpen || full || signal.aborted) return Promise.resolve();
    return new Promise((resolve) => {
      const go = () => {
        timer.close();
        signal.removeEventListener("abort", go);
        this.#waiting.delete(go);
        resolve();
      };
      const waitMs = Math.min(
        LONGEST_WAIT_MS,
        clientTimeoutMs * MAX_TIMEOUT_PART,
      );
      const timer = this.#clock.after(waitMs, go);
      signal.addEventListener("abort", go, { once: true });
      this.#waiting.add(go);
    });
  }
}
