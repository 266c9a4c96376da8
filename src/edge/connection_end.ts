/**
 * Distinguishes an orderly close of a connection from a reset.
 *
 * A close-delimited response ends with its connection. If the endpoint fails
 * midway, the end may look orderly and the reset may show only on the next
 * write; a truncated response would pass as complete.
 *
 * @module
 */
import type { Socket } from "node:net";
import type { Clock } from "../core/mod.ts";

/** Connection state from socket events. */
export interface ConnectionState {
  connected: boolean;
  /** The remote side closed it in order. */
  remoteEnded: boolean;
  /** The socket reported an error. */
  broken: boolean;
}

/**
 * How long after the remote end a reset may still arrive, in milliseconds: both
 * are sent together over the same path.
 */
const RESET_WAIT_MS = 20;
/** An empty line, which an HTTP server ignores. */
const EMPTY_LINE = "\r\n";

/** Tracks a socket; must be its first listener. */
export function trackConnection(
  socket: Socket,
  connection: ConnectionState,
): void {
  socket.on("connect", () => connection.connected = true);
  socket.on("end", () => connection.remoteEnded = true);
  socket.on("error", () => connection.broken = true);
}

/**
 * Delays the `end` event of a connection until a reset would have arrived. Call
 * it when a close-delimited response begins.
 */
export function delayEnd(socket: Socket, clock: Clock): void {
  const emit = socket.emit.bind(socket) as (...args: unknown[]) => boolean;
  socket.emit = (event: string | symbol, ...args: unknown[]): boolean => {
    if (event !== "end") return emit(event, ...args);
    clock.after(RESET_WAIT_MS, () => {
      if (socket.destroyed) return;
      // A write after a reset fails, which destroys the socket with an error.
      socket.write(EMPTY_LINE, (error) => {
        if (!error) emit(event, ...args);
      });
    });
    return true;
  };
}
