/**
 * A signal that a caller went away before its answer was complete.
 *
 * @module
 */
import type { ServerResponse } from "node:http";

/**
 * Aborts when the connection closes early. A response also closes when it is
 * done; aborting then would stop nothing and cost each request an exception.
 *
 * @example
 * ```ts
 * const signal = callerGone(res);
 * ```
 */
export function callerGone(res: ServerResponse): AbortSignal {
  const gone = new AbortController();
  res.once("close", () => {
    if (!res.writableFinished) gone.abort();
  });
  return gone.signal;
}
