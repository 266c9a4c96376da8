import test from "ava";
import { connect, createServer, type Server, type Socket } from "node:net";
import type { AddressInfo } from "node:net";
import process from "node:process";
import { setConnectTimeout, SystemClock } from "./mod.ts";

const TIMEOUT_MS = 10;
const STALL_MS = 40;

function listen(): Promise<Server> {
  const server = createServer((socket) => socket.destroy());
  return new Promise((resolve) => {
    server.listen(0, "127.0.0.1", () => resolve(server));
  });
}

/** Blocks the event loop. */
function stall(): void {
  const until = performance.now() + STALL_MS;
  while (performance.now() < until);
}

function outcomeOf(socket: Socket): Promise<string> {
  return new Promise((resolve) => {
    socket.once("connect", () => resolve("connected"));
    socket.once("error", ({ message }) => resolve(message));
  });
}

// Guards against a stall of the event loop that looks like unreachable endpoints.
test("a connection that opened during a stall is not timed out", async (t) => {
  const server = await listen();
  const { port } = server.address() as AddressInfo;
  const socket = connect(port, "127.0.0.1");
  setConnectTimeout(socket, TIMEOUT_MS, new SystemClock());
  process.nextTick(stall);
  t.is(await outcomeOf(socket), "connected");
  socket.destroy();
  server.close();
});
