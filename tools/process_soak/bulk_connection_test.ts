import test from "ava";
import type { AddressInfo } from "node:net";
import { createServer } from "node:net";
import { BulkConnection, closes } from "./bulk_connection.ts";

const BODY_BYTES = 200_000;
const REQUEST = new TextEncoder().encode("GET / HTTP/1.1\r\n\r\n");

/** Sends the bytes to a slow reader; returns what it takes for responses. */
async function exchange(bytes: string, requests: number, timeoutMs = 5_000) {
  const server = createServer((socket) => {
    socket.on("error", () => {});
    socket.once("data", () => socket.end(bytes));
  });
  await new Promise<void>((resolve) => server.listen(0, "127.0.0.1", resolve));
  const { port } = server.address() as AddressInfo;
  const connection = new BulkConnection(`127.0.0.1:${port}`);
  connection.readsSlowly = true;
  const responses = await connection.exchange(
    Array.from({ length: requests }, () => REQUEST),
    timeoutMs,
  );
  const { isClosed } = connection;
  connection.close();
  server.close();
  return { responses, isClosed };
}

function response(fields: string): string {
  const head = `HTTP/1.1 200 OK\r\nContent-Length: ${BODY_BYTES}\r\n${fields}`;
  return `${head}\r\n${"x".repeat(BODY_BYTES)}`;
}

// Guards against a slow reader that takes a response that is cut short for a
// whole one, or that does not notice the end of the connection.
test("a slow reader finds a response that is cut short", async (t) => {
  const whole = response("");
  const cut = whole.slice(0, -1);
  const { responses, isClosed } = await exchange(whole + cut, 2);
  t.deepEqual(responses.map(({ body }) => body.length), [BODY_BYTES]);
  t.true(isClosed);
});

// Guards against requests behind a response that closes which count as lost.
test("a response that closes ends an exchange", async (t) => {
  const { responses } = await exchange(response("Connection: close\r\n"), 2);
  t.deepEqual(responses.map(closes), [true]);
});
