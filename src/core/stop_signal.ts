/**
 * The signal that ends a daemon.
 *
 * @module
 */
import process from "node:process";

/**
 * Resolves with the first signal to stop. Those that follow are taken too and
 * change nothing: without a listener the second would end the process at once
 * and cut the requests that the stop lets end.
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
