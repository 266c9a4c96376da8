/**
 * Schedules the fetch of changes that peers have and this instance lacks.
 *
 * @module
 */
import type { Clock, Timer } from "../core/mod.ts";

/**
 * Delay between learning of a missing change and fetching it, in milliseconds.
 * Usually its relay is still in flight: that takes a few milliseconds within a
 * zone and up to a digest's period from another one.
 */
const CATCHUP_DELAY_MS = 150;

/** Runs one fetch at a time, after a delay. */
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

  /** Schedules a fetch unless one is pending or running. */
  schedule(): void {
    if (this.#closed || this.#fetching || this.#timer !== undefined) return;
    this.#timer = this.#clock.after(CATCHUP_DELAY_MS, () => void this.#run());
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
