/**
 * A time limit as an abort signal.
 *
 * `AbortSignal.any([parent, AbortSignal.timeout(ms)])` holds its sources
 * weakly: on Node.js 20 the timeout may be garbage-collected, and a call to a
 * server that hangs then never ends. It happens only in processes that collect
 * garbage during the call. The timer here keeps a strong reference to the
 * controller it aborts.
 *
 * @module
 */

/** A running timeout; `close` cancels it without aborting. */
export class Deadline {
  readonly #abort = new AbortController();
  readonly #parent: AbortSignal | undefined;
  readonly #timer: NodeJS.Timeout;
  readonly #onParentAbort = () => this.#abort.abort(this.#parent?.reason);
  #expired = false;

  /**
   * Aborts after `ms` milliseconds or when `parent` aborts.
   *
   * @example
   * ```ts
   * const deadline = new Deadline(200, req.signal);
   * await request(url, { signal: deadline.signal });
   * deadline.close();
   * ```
   */
  constructor(ms: number, parent?: AbortSignal) {
    this.#parent = parent;
    this.#timer = setTimeout(() => this.#expire(), Math.max(1, Math.ceil(ms)));
    this.#timer.unref();
    if (parent?.aborted) this.#onParentAbort();
    else parent?.addEventListener("abort", this.#onParentAbort, { once: true });
  }

  get signal(): AbortSignal {
    return this.#abort.signal;
  }

  /** Whether the timeout expired, as opposed to the parent aborting. */
  get expired(): boolean {
    return this.#expired;
  }

  close(): void {
    clearTimeout(this.#timer);
    this.#parent?.removeEventListener("abort", this.#onParentAbort);
  }

  #expire(): void {
    this.#expired = true;
    this.close();
    this.#abort.abort(new DOMException("deadline exceeded", "TimeoutError"));
  }
}
