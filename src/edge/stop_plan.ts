/**
 * The stop of an instance, in steps that cut no request.
 *
 * Callers learn from the directory that the instance leaves, which takes them
 * as long as they keep an answer. Until then their connections and new ones are
 * served as before, only that each answer asks to leave. Then no more is taken,
 * and what is open is answered.
 *
 * @module
 */

/** When the steps begin, in milliseconds after the signal. */
export interface StopPlan {
  /** No new connections, and those that rest are closed. */
  readonly stopListeningMs: number;
  /** What is still open is given up. */
  readonly giveUpMs: number;
}

/** Part of the time for which connections are still taken. */
const LISTENING_PART = 0.5;
/** Kept for the process's own end, in milliseconds. */
const END_MS = 150;

/**
 * Divides the time that an instance has between the signal and its end.
 *
 * @example
 * ```ts
 * stopPlan(6_000); // { stopListeningMs: 3000, giveUpMs: 5850 }
 * ```
 */
export function stopPlan(graceMs: number): StopPlan {
  return {
    stopListeningMs: graceMs * LISTENING_PART,
    giveUpMs: Math.max(0, graceMs - END_MS),
  };
}
