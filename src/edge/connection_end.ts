/**
 * How a connection ended: in order, or by a break that shows late.
 *
 * An answer without a length ends with its connection. If the endpoint breaks
 * off, its end can be read just like an orderly one, and the break shows only
 * when something is written. Taken for whole, half an answer would reach the
 * caller as a success: one sees complete answers with bodies that are too short,
 * only from endpoints that do not state a length.
 *
 * @module
 */
import type { Socket } from "node:net";
import type { Clock } from "../core/mod.ts";
import type { Exchange } from "./exchange.ts";

/** What the socket of a connection has shown. */
export interface ObservedConnection {
  /** The other side has closed it in order. */
  ended: boolean;
  /** It broke. */
  broken: boolean;
  /** The request that it carries at present. */
  exchange: Exchange | undefined;
}

/**
 * How long after the other side's end a break may still show, in milliseconds:
 * the end and the break set out together and take the same way.
 */
const LINGER_MS = 20;
/** An empty line, which a server passes over. */
const EMPTY_LINE = "\r\n";

/** Follows a socket; call it before anything else listens to it. */
export function observe(
  socket: Socket,
  connection: ObservedConnection,
  clock: Clock,
): void {
  socket.on("end", () => connection.ended = true);
  socket.on("error", () => connection.broken = true);
  const emit = socket.emit.bind(socket) as (...args: unknown[]) => boolean;
  socket.emit = (event: string | symbol, ...args: unknown[]): boolean => {
    const undecided = event === "end" &&
      connection.exchange?.endsWithConnection;
    if (!undecided) return emit(event, ...args);
    clock.after(LINGER_MS, () => {
      if (socket.destroyed) return;
      // A write after a break fails, which destroys the socket with an error.
      socket.write(EMPTY_LINE, (error) => {
        if (!error) emit(event, ...args);
      });
    });
    return true;
  };
}
