import test from "ava";
import { Buffer } from "node:buffer";
import { createServer, type RequestListener, type Server } from "node:http";
import { type AddressInfo, createServer as createTcpServer } from "node:net";
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

const BLOCK = Buffer.alloc(65_536, 0x20);

// Guards against a server that fills the memory of its callers.
for (const head of ["Transfer-Encoding: x", `Content-Length: ${10 ** 12}`]) {
  test(`a body without end fails the call: ${head}`, async (t) => {
    let sent = 0;
    const server = createTcpServer((socket) => {
      socket.on("error", () => {});
      socket.once("data", () => {
        socket.write(`HTTP/1.1 200 OK\r\n${head}\r\n\r\n`);
        const send = () => {
          while (!socket.destroyed && socket.write(BLOCK)) sent += BLOCK.length;
        };
        socket.on("drain", send);
        send();
      });
    });
    await new Promise<void>((resolve) =>
      server.listen(0, "127.0.0.1", resolve)
    );
    const { port } = server.address() as AddressInfo;
    const client = new HttpClient(500);
    const signal = new AbortController().signal;
    const call = { host: "127.0.0.1", port, method: "GET", path: "/", signal };
    await t.throwsAsync(client.call({ ...call, timeoutMs: 60_000 }), {
      message: "the response is too large",
    });
    t.true(sent < 4 * 8_388_608, `${sent} bytes`);
    client.close();
    server.close();
  });
}

// Guards against a server that keeps the event loop of its callers busy.
test("informational responses without end fail the call", async (t) => {
  const server = await serve((_, res) => {
    for (let i = 0; i < 100; i++) res.writeProcessing();
  });
  const client = new HttpClient(500);
  await t.throwsAsync(client.call(requestTo(server)), {
    message: "too many informational responses",
  });
  client.close();
  server.closeAllConnections();
  server.close();
});
