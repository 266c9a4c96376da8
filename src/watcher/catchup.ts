/**
 * When an instance that knows less than others fetches what it lacks.
 *
 * @module
 */
import type { Clock, Timer } from "../core/mod.ts";

/**
 * How long after it hears of a change that it does not know an instance fetches
 * it, in milliseconds. The change itself is mostly on the way: it takes a few
 * milliseconds within a zone and up to a digest's period from another one.
 */
const PATIENCE_MS = 150;

/** Runs one fetch at a time, a little after it was found to be needed. */
export class Catchup {
  readonly #clock: Clock;
  readonly #fetch: () => Promise<void>;
  #timer: Timer | undefined;
  #fetching = false;
  #closed = false;

  constructor(clock: Clock, fetch: () => Promise<void>) {
    this.#clock = clock;
    this.#fetch = fetch;
  }

  /** Something is known elsewhere that is not known here. */
  behind(): void {
    if (this.#closed || this.#fetching || this.#timer !== undefined) return;
    this.#timer = this.#clock.after(PATIENCE_MS, () => void this.#run());
  }

  close(): void {
    this.#closed = true;
    this.#timer?.close();
  }

  async #run(): Promise<void> {
    this.#timer = undefined;
    this.#fetching = true;
    await this.#fetch();
    this.#fetching = false;
  }
}
