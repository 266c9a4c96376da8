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
 * Writes bytes to each connection and ends it; resolves right after the last
 * one is closed, before the event loop reads any socket again. The callback runs
 * at that moment.
 */
export function writeAndLeave(
  sockets: readonly Socket[],
  opts: {
    readonly bytes: (i: number) => string;
    readonly leave: Leave;
    readonly onClosed: () => void;
  },
): Promise<void> {
  return new Promise((resolve) => {
    let open = sockets.length;
    sockets.forEach((socket, i) => {
      socket.once("close", () => {
        if (--open > 0) return;
        opts.onClosed();
        resolve();
      });
      socket.write(opts.bytes(i));
      socket[opts.leave]();
    });
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
