/**
 * Cancellation of one request.
 *
 * An `AbortController` a request is a tenth of what a request costs an instance
 * that has not run it often; this has the part of its interface that is used.
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

/** A signal that its owner aborts, once. */
export class CancelSource implements CancelSignal {
  readonly #listeners = new Set<() => void>();
  #aborted = false;

  get aborted(): boolean {
    return this.#aborted;
  }

  /** Listeners are called once: the signal aborts once. */
  addEventListener(_type: "abort", listener: () => void): void {
    this.#listeners.add(listener);
  }

  removeEventListener(_type: "abort", listener: () => void): void {
    this.#listeners.delete(listener);
  }

  /**
   * Calls the listeners.
   *
   * @example
   * ```ts
   * const left = new CancelSource();
   * res.once("close", () => left.abort());
   * ```
   */
  abort(): void {
    if (this.#aborted) return;
    this.#aborted = true;
    for (const listener of [...this.#listeners]) listener();
    this.#listeners.clear();
  }
}
