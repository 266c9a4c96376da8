/**
 * A time limit for opening a connection.
 *
 * @module
 */
import type { Socket } from "node:net";
import type { Clock } from "./clock.ts";

/**
 * Destroys a socket that does not connect in time.
 *
 * @param ms How long it may take, in milliseconds.
 *
 * @example
 * ```ts
 * limitConnect(connect({ host, port }), 500, clock);
 * ```
 */
export function limitConnect(socket: Socket, ms: number, clock: Clock): void {
  const timer = clock.after(
    ms,
    () => void socket.destroy(new Error("the connection does not open")),
  );
  socket.once("connect", () => timer.close());
  socket.once("close", () => timer.close());
}
