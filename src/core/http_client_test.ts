import test from "ava";
import { createServer, type RequestListener, type Server } from "node:http";
import type { AddressInfo } from "node:net";
import { HttpClient, type HttpRequest } from "./mod.ts";

function serve(listener: RequestListener): Promise<Server> {
  const server = createServer(listener);
  return new Promise((resolve) => {
    server.listen(0, "127.0.0.1", () => resolve(server));
  });
}

function requestTo(
  server: Server,
  change: Partial<HttpRequest> = {},
): HttpRequest {
  return {
    host: "127.0.0.1",
    port: (server.address() as AddressInfo).port,
    method: "GET",
    path: "/",
    timeoutMs: 5_000,
    signal: new AbortController().signal,
    ...change,
  };
}

test("a call returns status and body and reuses its connection", async (t) => {
  let connections = 0;
  const server = await serve((req, res) => res.end(`${req.method} ok`));
  server.on("connection", () => connections++);
  const client = new HttpClient(500);
  const first = await client.call(requestTo(server));
  const second = await client.call(
    requestTo(server, { method: "POST", json: {} }),
  );
  t.deepEqual([first.status, first.body.toString()], [200, "GET ok"]);
  t.is(second.body.toString(), "POST ok");
  t.is(connections, 1);
  client.close();
  server.closeAllConnections();
  server.close();
});

// Guards against a call to a server that hangs never ending.
test("a call without a response in time fails", async (t) => {
  const server = await serve(() => {});
  const client = new HttpClient(500);
  await t.throwsAsync(client.call(requestTo(server, { timeoutMs: 50 })));
  client.close();
  server.closeAllConnections();
  server.close();
});

// Guards against treating a truncated response as complete.
test("a truncated response fails the call", async (t) => {
  const server = await serve((_, res) => {
    res.writeHead(200, { "content-length": "10" });
    res.write("half", () => res.destroy());
  });
  const client = new HttpClient(500);
  await t.throwsAsync(client.call(requestTo(server)));
  client.close();
  server.close();
});
