/**
 * Stages of a graceful shutdown.
 *
 * Callers stop using the instance once their cached directory response expires.
 * Until then existing and new connections are served, and each response has
 * `Connection: close`. Then the listener closes, and open requests are completed.
 *
 * @module
 */

/** When the stages begin, in milliseconds after the stop signal. */
export interface StopPlan {
  /** The listener and idle connections are closed. */
  readonly stopListeningMs: number;
  /** Requests that are still open are aborted. */
  readonly forceCloseMs: number;
}

/** Share of the grace period in which connections are still accepted. */
const LISTENING_SHARE = 0.5;
/** Time reserved for the exit of the process, in milliseconds. */
const EXIT_MARGIN_MS = 150;

/**
 * Divides the grace period into stages.
 *
 * @example
 * ```ts
 * stopPlan(6_000); // { stopListeningMs: 3000, forceCloseMs: 5850 }
 * ```
 */
export function stopPlan(graceMs: number): StopPlan {
  return {
    stopListeningMs: graceMs * LISTENING_SHARE,
    forceCloseMs: Math.max(0, graceMs - EXIT_MARGIN_MS),
  };
}
