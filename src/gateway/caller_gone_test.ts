import test from "ava";
import { createServer, get } from "node:http";
import type { AddressInfo } from "node:net";
import { callerGone } from "./caller_gone.ts";

test("a caller that hangs up is noticed, one that was answered is not", async (t) => {
  // The caller gives up. Unless that is noticed its request goes on waiting
  // for a slot and takes it from somebody who still wants an answer.
  const signals: AbortSignal[] = [];
  const closed: Promise<unknown>[] = [];
  const server = createServer((req, res) => {
    signals.push(callerGone(res));
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
