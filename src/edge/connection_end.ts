/**
 * Detects how a connection ended: in order, or by a reset that shows late.
 *
 * An answer without a length ends with its connection. If the endpoint breaks
 * off, the end may be read like an orderly one, and the reset shows only on the
 * next write; half an answer would pass for a whole one.
 *
 * @module
 */
import type { Socket } from "node:net";
import type { Clock } from "../core/mod.ts";

/** What the socket of a connection has shown. */
export interface ObservedConnection {
  /** It was established. */
  opened: boolean;
  /** The other side has closed it in order. */
  ended: boolean;
  /** It broke. */
  broken: boolean;
}

/**
 * How long after the other side's end a reset may still show, in milliseconds:
 * both set out together and take the same way.
 */
const LINGER_MS = 20;
/** An empty line, which a server passes over. */
const EMPTY_LINE = "\r\n";

/** Follows a socket; call it before anything else listens to it. */
export function observe(socket: Socket, connection: ObservedConnection): void {
  socket.on("connect", () => connection.opened = true);
  socket.on("end", () => connection.ended = true);
  socket.on("error", () => connection.broken = true);
}

/**
 * Holds back the end of a connection until a reset would have shown. Call it
 * where an answer has begun that ends with the connection.
 */
export function holdEnd(socket: Socket, clock: Clock): void {
  const emit = socket.emit.bind(socket) as (...args: unknown[]) => boolean;
  socket.emit = (event: string | symbol, ...args: unknown[]): boolean => {
    if (event !== "end") return emit(event, ...args);
    clock.after(LINGER_MS, () => {
      if (socket.destroyed) return;
      // A write after a reset fails, which destroys the socket with an error.
      socket.write(EMPTY_LINE, (error) => {
        if (!error) emit(event, ...args);
      });
    });
    return true;
  };
}
