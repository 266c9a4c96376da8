/**
 * How long a watcher pauses after changes before its next call to the store.
 *
 * Load: a release, a restart of a zone or flapping endpoints change entries
 * several times a second for many seconds. Each change would cost every watcher
 * two calls to a store whose rate limit all instances share. One call after a
 * pause returns all changes made meanwhile, so the pause grows while changes
 * continue.
 *
 * A long initial pause, or a longer maximum, would needlessly delay a single
 * change such as a drain or a new plan; a drain has to take effect within two
 * seconds, of which propagation to the instances takes one.
 *
 * @module
 */

/** Pause after a single change: changes come in groups, as in a scale-out. */
const MIN_PAUSE_MS = 100;
const MAX_PAUSE_MS = 400;
/** A change within this many pauses of the last one continues a series. */
const SERIES_PAUSES = 3;

/** Pause of one watcher, which doubles during a series of changes. */
export class BatchPause {
  #pauseMs = 0;
  #changedAt = -Infinity;

  /**
   * Records changes read at `now`; returns the pause, in milliseconds.
   *
   * @example
   * ```ts
   * await sleep(clock, pause.next(clock.now()));
   * ```
   */
  next(now: number): number {
    const inSeries = now - this.#changedAt <= this.#pauseMs * SERIES_PAUSES;
    this.#changedAt = now;
    this.#pauseMs = inSeries
      ? Math.min(MAX_PAUSE_MS, this.#pauseMs * 2)
      : MIN_PAUSE_MS;
    return this.#pauseMs;
  }
}
