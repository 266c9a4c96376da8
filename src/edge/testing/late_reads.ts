/**
 * Holds up the event loop, so that what sockets receive meanwhile is read late.
 *
 * @module
 */
import { connect, type Socket } from "node:net";
import { performance } from "node:perf_hooks";

/** How a caller ends its connection. */
export type Leave = "destroy" | "resetAndDestroy";

/** Blocks the event loop, in milliseconds. */
export function block(ms: number): void {
  const until = performance.now() + ms;
  while (performance.now() < until);
}

/** Lets the event loop take this many turns, each of which takes `ms`. */
export async function slowTurns(turns: number, ms: number): Promise<void> {
  for (let i = 0; i < turns; i++) {
    block(ms);
    await new Promise((resolve) => setImmediate(resolve));
  }
}

/**
 * Writes bytes to each connection and ends it, without a turn of the event loop:
 * the system gets both before any socket is read.
 */
export function writeAndLeave(
  sockets: readonly Socket[],
  { bytes, leave }: {
    readonly bytes: (i: number) => string;
    readonly leave: Leave;
  },
): void {
  sockets.forEach((socket, i) => {
    socket.write(bytes(i));
    socket[leave]();
  });
}

/** Opens connections; resolves once the system has accepted all. */
export async function openAll(port: number, count: number): Promise<Socket[]> {
  const sockets = Array.from({ length: count }, () => {
    const socket = connect(port, "127.0.0.1");
    socket.on("error", () => {});
    return socket;
  });
  await Promise.all(
    sockets.map((socket) =>
      new Promise((resolve) => socket.once("connect", resolve))
    ),
  );
  return sockets;
}
