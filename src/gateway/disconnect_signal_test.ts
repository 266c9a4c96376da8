import test from "ava";
import { createServer, get } from "node:http";
import type { AddressInfo } from "node:net";
import { disconnectSignal } from "./disconnect_signal.ts";

test("the signal aborts when the caller disconnects, not after a complete response", async (t) => {
  // A caller disconnects. Without the signal its request would stay queued and
  // take a slot from a caller that still waits.
  const signals: AbortSignal[] = [];
  const closed: Promise<unknown>[] = [];
  const server = createServer((req, res) => {
    signals.push(disconnectSignal(res));
    closed.push(new Promise((resolve) => res.once("close", resolve)));
    if (req.url === "/answer") res.end("done");
    else setImmediate(() => req.socket.destroy());
  });
  await new Promise<void>((resolve) => server.listen(0, "127.0.0.1", resolve));
  const { port } = server.address() as AddressInfo;
  await (await fetch(`http://127.0.0.1:${port}/answer`)).text();
  await new Promise((resolve) => {
    get(`http://127.0.0.1:${port}/wait`).once("error", resolve);
  });
  await Promise.all(closed);
  t.deepEqual(signals.map((s) => s.aborted), [false, true]);
  server.closeAllConnections();
  server.close();
});
