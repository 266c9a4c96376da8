/**
 * Closes a connection so that the last response on it arrives.
 *
 * The system resets a connection that is closed while received bytes are
 * unread, and the reset discards what the peer has not read yet. So the sending
 * side is closed first, and what still arrives is read and discarded.
 *
 * @module
 */
import type { Socket } from "node:net";
import type { Clock } from "../core/mod.ts";

/** How long bytes are discarded until the peer closes, in milliseconds. */
const LINGER_MS = 1_000;

/**
 * Makes the server's own close after a last response linger, too: Node.js calls
 * `destroySoon` then, which would close with bytes unread.
 *
 * @example
 * ```ts
 * server.on("connection", (socket) => lingerOnClose(socket, clock));
 * ```
 */
export function lingerOnClose(socket: Socket, clock: Clock): void {
  let isClosing = false;
  socket.destroySoon = () => {
    if (isClosing || socket.destroyed) return;
    isClosing = true;
    const linger = () => {
      if (socket.destroyed) return;
      const timer = clock.after(LINGER_MS, () => socket.destroy());
      socket.once("close", () => timer.close());
      socket.resume();
    };
    // The time starts once the system has taken the response, which takes long
    // where the peer reads slowly.
    if (socket.writableFinished) linger();
    else socket.once("finish", linger);
    if (!socket.writableEnded) socket.end();
  };
}
