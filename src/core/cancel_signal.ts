/**
 * Cancellation of one request.
 *
 * Creating an `AbortController` for each request is a tenth of a request's cost
 * on a recently started instance; this implements only the interface in use.
 *
 * @module
 */

/** Signals cancellation to listeners; every `AbortSignal` is one. */
export interface CancelSignal {
  readonly aborted: boolean;
  addEventListener(
    type: "abort",
    listener: () => void,
    opts?: { readonly once?: boolean },
  ): void;
  removeEventListener(type: "abort", listener: () => void): void;
}

/** A signal that its owner aborts at most once. */
export class CancelSource implements CancelSignal {
  readonly #listeners = new Set<() => void>();
  #aborted = false;

  get aborted(): boolean {
    return this.#aborted;
  }

  /** Each listener is called at most once, as the signal aborts once. */
  addEventListener(_type: "abort", listener: () => void): void {
    this.#listeners.add(listener);
  }

  removeEventListener(_type: "abort", listener: () => void): void {
    this.#listeners.delete(listener);
  }

  /**
   * Aborts the signal and calls its listeners; later calls do nothing.
   *
   * @example
   * ```ts
   * const cancel = new CancelSource();
   * res.once("close", () => cancel.abort());
   * ```
   */
  abort(): void {
    if (this.#aborted) return;
    this.#aborted = true;
    for (const listener of [...this.#listeners]) listener();
    this.#listeners.clear();
  }
}
