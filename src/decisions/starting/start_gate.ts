/**
 * Holds requests that arrive before an instance has loaded its plan.
 *
 * Load: after a power loss of all instances of a region, callers reconnect
 * before the plan is read, which takes two round trips to the store. If refused,
 * each spends one of its few retries, and all retry together half a second later
 * on an instance that is still warming up; if held, they are served a few
 * hundred milliseconds late.
 *
 * A plan that takes longer must not block callers: the wait is short, leaves
 * most of the caller's timeout for the request, and only so many may wait.
 *
 * @module
 */
import type { CancelSignal, Clock } from "../../core/mod.ts";

/** A listing from the farthest region arrives within this time. */
const MAX_WAIT_MS = 500;
/** Largest share of a caller's timeout that may be spent waiting. */
const MAX_TIMEOUT_SHARE = 0.25;
/** Maximum of waiting requests, each of which holds its body in memory. */
const MAX_WAITING = 256;

/** A request that arrived before the gate was open. */
export interface EarlyRequest {
  /** The caller's timeout, in milliseconds. */
  readonly clientTimeoutMs: number;
  /** Aborted when the caller disconnects. */
  readonly signal: CancelSignal;
}

/** The gate of one instance: closed at its start; once open, it stays open. */
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

  /** Number of waiting requests. */
  get waiting(): number {
    return this.#waiting.size;
  }

  /** Releases waiting requests in order of arrival and admits all later ones. */
  open(): void {
    this.#isOpen = true;
    for (const release of [...this.#waiting]) release();
  }

  /**
   * Resolves when the gate opens, the maximum wait has passed or the caller
   * disconnects; immediately if the gate is open or too many requests wait.
   *
   * @example
   * ```ts
   * if (!gate.isOpen) await gate.wait({ clientTimeoutMs: 2_000, signal });
   * ```
   */
  wait({ clientTimeoutMs, signal }: EarlyRequest): Promise<void> {
    const full = this.#waiting.size >= MAX_WAITING;
    if (this.#isOpen || full || signal.aborted) return Promise.resolve();
    return new Promise((resolve) => {
      const release = () => {
        timer.close();
        signal.removeEventListener("abort", release);
        this.#waiting.delete(release);
        resolve();
      };
      const waitMs = Math.min(
        MAX_WAIT_MS,
        clientTimeoutMs * MAX_TIMEOUT_SHARE,
      );
      const timer = this.#clock.after(waitMs, release);
      signal.addEventListener("abort", release, { once: true });
      this.#waiting.add(release);
    });
  }
}
