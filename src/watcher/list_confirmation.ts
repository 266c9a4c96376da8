/**
 * Schedules the check whether a list missed a deletion.
 *
 * An object that is deleted between an instance's list and those of all watchers
 * is in no change that they relay, and would be kept for good. One that changes
 * is newer in their lists.
 *
 * @module
 */
import type { Clock, Timer } from "../core/mod.ts";

/**
 * Delay after the list, in milliseconds: after a restart of all instances the
 * watchers are elected within this time.
 */
const CONFIRM_DELAY_MS = 2_000;
/**
 * Maximum delay, in milliseconds. It doubles with each attempt, since in an
 * outage of the store every instance that started before it repeats the check.
 */
const MAX_CONFIRM_DELAY_MS = 32_000;

/** Repeats a check until it was made. */
export class ListConfirmation {
  readonly #clock: Clock;
  readonly #confirm: (revision: number) => Promise<boolean>;
  #timer: Timer | undefined;
  #delayMs = CONFIRM_DELAY_MS;

  /** @param confirm Returns whether the check was made or is not needed. */
  constructor(
    clock: Clock,
    confirm: (revision: number) => Promise<boolean>,
  ) {
    this.#clock = clock;
    this.#confirm = confirm;
  }

  /** Schedules the check of a list, in place of an earlier one's. */
  schedule(revision: number): void {
    this.#delayMs = CONFIRM_DELAY_MS;
    this.#start(revision);
  }

  /** Cancels the check. */
  close(): void {
    this.#timer?.close();
    this.#timer = undefined;
  }

  #start(revision: number): void {
    this.close();
    this.#timer = this.#clock.after(
      this.#delayMs,
      () => void this.#run(revision),
    );
  }

  async #run(revision: number): Promise<void> {
    const timer = this.#timer;
    const isDone = await this.#confirm(revision);
    if (isDone || this.#timer !== timer) return;
    this.#delayMs = Math.min(MAX_CONFIRM_DELAY_MS, this.#delayMs * 2);
    this.#start(revision);
  }
}
