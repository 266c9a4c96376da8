/**
 * A connect timeout for sockets.
 *
 * @module
 */
import type { Socket } from "node:net";
import type { Clock } from "./clock.ts";

/** Message of the error with which a socket is destroyed on a timeout. */
export const CONNECT_TIMED_OUT = "connect timed out";

/**
 * Destroys a socket that has not connected within `ms`.
 *
 * @param ms The connect timeout in milliseconds.
 *
 * @example
 * ```ts
 * setConnectTimeout(connect({ host, port }), 500, clock);
 * ```
 */
export function setConnectTimeout(
  socket: Socket,
  ms: number,
  clock: Clock,
): void {
  const timer = clock.after(ms, () => {
    // After a stall of the event loop the connection may be open already.
    setImmediate(() => {
      if (socket.connecting) socket.destroy(new Error(CONNECT_TIMED_OUT));
    });
  });
  socket.once("connect", () => timer.close());
  socket.once("close", () => timer.close());
}
