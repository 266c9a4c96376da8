/**
 * Stop signals of a daemon.
 *
 * @module
 */
import process from "node:process";

/**
 * Resolves on the first SIGTERM or SIGINT. The listeners stay, so that later
 * signals are ignored: without them a second signal would end the process at
 * once and cut off the requests that are still completing.
 *
 * @example
 * ```ts
 * await stopSignal();
 * await instance.stop();
 * ```
 */
export function stopSignal(): Promise<void> {
  return new Promise((resolve) => {
    process.on("SIGTERM", () => resolve());
    process.on("SIGINT", () => resolve());
  });
}
