import test from "ava";
import type { Socket } from "node:net";
import { SystemClock } from "../core/mod.ts";
import { HttpEndpointSender } from "./http_endpoint_sender.ts";
import { PlainCodec } from "./testing/plain_codec.ts";
import { listenScripted, type Script } from "./testing/scripted_endpoint.ts";

async function probe(script: Script, isGone = false): Promise<boolean> {
  const endpoint = await listenScripted(script);
  if (isGone) endpoint.close();
  const sender = new HttpEndpointSender(new PlainCodec(), new SystemClock());
  const reached = await sender.probe({ address: endpoint.address }, "/health");
  sender.close();
  if (!isGone) endpoint.close();
  return reached;
}

const respond = (socket: Socket) =>
  void socket.write("HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n");

test("any response shows that an endpoint can be reached", async (t) => {
  t.true(await probe(respond));
});

// Guards against an overloaded fleet that takes itself for cut off.
test("a busy endpoint that does not respond in time can be reached", async (t) => {
  t.true(await probe(() => {}));
});

test("an endpoint that refuses connections cannot be reached", async (t) => {
  t.false(await probe(respond, true));
});

// Guards against links that accept connections and reset them.
test("an endpoint whose connections are reset cannot be reached", async (t) => {
  t.false(await probe((socket) => void socket.resetAndDestroy()));
});
