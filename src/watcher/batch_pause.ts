/**
 * How long a watcher waits after changes before it asks for more.
 *
 * The load it answers: a release, a restart of a zone or endpoints that flap
 * change some entry several times a second for many seconds. Each change would
 * cost every watcher two calls of a store whose rate all instances share. One
 * call after a pause brings all that changed meanwhile, so the pause grows while
 * changes keep coming.
 *
 * What goes wrong with a long pause at once, or a longer one: a single change,
 * such as a drain or a new plan, would be in force later for nothing; and a
 * drain has two seconds, of which the way to the instances takes one.
 *
 * @module
 */

/** Changes come in groups, as when a service is scaled out. */
const SHORTEST_MS = 100;
const LONGEST_MS = 400;
/** A change within so many pauses of the last one continues a series. */
const SERIES_PAUSES = 3;

/** The pause of one watcher. */
export class BatchPause {
  #pauseMs = 0;
  #changedAt = -Infinity;

  /**
   * Changes were seen just now; gives how long to wait, in milliseconds.
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
      ? Math.min(LONGEST_MS, this.#pauseMs * 2)
      : SHORTEST_MS;
    return this.#pauseMs;
  }
}
