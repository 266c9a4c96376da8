import test, { type ExecutionContext } from "ava";
import { Buffer } from "node:buffer";
import { createServer, type Socket } from "node:net";
import { SystemClock } from "../core/mod.ts";
import { HeldBody } from "./held_body.ts";
import { HttpEndpointSender } from "./http_endpoint_sender.ts";
import { boundPort, listenAt } from "./listening.ts";
import { settle, until } from "./testing/held_requests.ts";
import { outgoing } from "./testing/outgoing_request.ts";
import { PlainCodec } from "./testing/plain_codec.ts";
import { endpointRow } from "./testing/traffic_fixtures.ts";

/** More than the systems of both sides buffer. */
const BODY_BYTES = 20_000_000;
/** More than the endpoint's system buffers. */
const MAX_RECEIVED_BYTES = 1_000_000;

/** An endpoint that accepts connections and reads none of them. */
async function listenUnread(t: ExecutionContext) {
  const sockets: Socket[] = [];
  const server = createServer({ pauseOnConnect: true }, (socket) => {
    sockets.push(socket);
  });
  await listenAt(server, "127.0.0.1:0");
  t.teardown(() => {
    for (const socket of sockets) socket.destroy();
    server.close();
  });
  return { sockets, address: `127.0.0.1:${boundPort(server)}` };
}

/** Reads a connection to its end; returns the number of bytes. */
function readAll(socket: Socket): Promise<number> {
  let bytes = 0;
  socket.on("data", (chunk) => bytes += chunk.length);
  // A reset ends the connection as well.
  socket.on("error", () => {});
  socket.resume();
  return new Promise((resolve) => socket.on("close", () => resolve(bytes)));
}

// Guards against requests that reach an endpoint long after they were cancelled,
// as when a link that was cut works again.
test("what a cancelled request has not sent yet is discarded", async (t) => {
  const { sockets, address } = await listenUnread(t);
  const sender = new HttpEndpointSender(new PlainCodec(), new SystemClock());
  t.teardown(() => sender.close());
  const body = new HeldBody([Buffer.alloc(BODY_BYTES)], () => {});
  const sending = sender.send(endpointRow({ address }), {
    ...outgoing(),
    method: "POST",
    body,
  });
  await until(() => sockets.length === 1);
  await settle(200);
  sending.cancel();
  t.deepEqual(await sending.result, { kind: "cancelled", sent: true });
  const bytes = await readAll(sockets[0]!);
  t.true(bytes <= MAX_RECEIVED_BYTES, `${bytes}`);
});
