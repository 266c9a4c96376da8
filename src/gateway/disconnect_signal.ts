/**
 * An abort signal for callers that disconnect before their response is complete.
 *
 * @module
 */
import type { ServerResponse } from "node:http";

/**
 * Aborts when the connection closes early. A response also emits `close` when
 * it is complete; aborting then would only cost each request an exception.
 *
 * @example
 * ```ts
 * const signal = disconnectSignal(res);
 * ```
 */
export function disconnectSignal(res: ServerResponse): AbortSignal {
  const controller = new AbortController();
  res.once("close", () => {
    if (!res.writableFinished) controller.abort();
  });
  return controller.signal;
}
