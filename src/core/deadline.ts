/**
 * A time limit as an abort signal.
 *
 * `AbortSignal.any([parent, AbortSignal.timeout(ms)])` holds its sources
 * weakly: on Node.js 20 the collector may take the timeout away, and a call to
 * a server that hangs then waits for ever. One would notice calls that outlive
 * their limit, only in processes that collect garbage meanwhile. The timer here
 * holds what it aborts.
 *
 * @module
 */

/** A running time limit; `close` ends it without aborting. */
export class Deadline {
  readonly #abort = new AbortController();
  readonly #parent: AbortSignal | undefined;
  readonly #timer: NodeJS.Timeout;
  readonly #onParent = () => this.#abort.abort(this.#parent?.reason);
  #expired = false;

  /**
   * Aborts after `ms` milliseconds, or when `parent` does.
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
    if (parent?.aborted) this.#onParent();
    else parent?.addEventListener("abort", this.#onParent, { once: true });
  }

  get signal(): AbortSignal {
    return this.#abort.signal;
  }

  /** Whether time ran out, as opposed to the parent's abort. */
  get expired(): boolean {
    return this.#expired;
  }

  close(): void {
    clearTimeout(this.#timer);
    this.#parent?.removeEventListener("abort", this.#onParent);
  }

  #expire(): void {
    this.#expired = true;
    this.close();
    this.#abort.abort(new DOMException("time ran out", "TimeoutError"));
  }
}
