import test from "ava";
import { Buffer } from "node:buffer";
import { ByteBudget } from "../decisions/memory/mod.ts";
import type { EndpointResponse } from "./flow_result.ts";
import { HeldBody } from "./held_body.ts";
import type { CallerRequest } from "./request_context.ts";
import { FORWARDED_ID, forwardTo } from "./testing/forward_to.ts";
import {
  HeldRequests,
  listenHolding,
  responseOf,
  until,
} from "./testing/held_requests.ts";
import { postRequest, RawCaller } from "./testing/raw_caller.ts";
import { listenScripted } from "./testing/scripted_endpoint.ts";

/** More than the system buffers for a connection. */
const BODY_BYTES = 32_000_000;
const EARLY_RESPONSE =
  `HTTP/1.1 200 OK\r\nid: ${FORWARDED_ID}\r\nsigned: yes\r\n` +
  "Content-Length: 2\r\n\r\nok";

test("a body is free once nobody holds it, and then refers to no bytes", (t) => {
  let freed = 0;
  const body = new HeldBody(
    [Buffer.from("ab"), Buffer.from("c")],
    () => freed++,
  );
  t.is(body.bytes, 3);
  const release = body.hold();
  body.release();
  body.release();
  t.is(freed, 0);
  t.is(body.blocks.length, 2);
  release();
  release();
  t.is(freed, 1);
  t.deepEqual(body.blocks, []);
});

// Guards against bodies that take memory without being counted: an endpoint
// that responds early leaves the rest of the body to be written.
test("a body counts until it is written, also after the response", async (t) => {
  const endpoint = await listenScripted((socket, requests) => {
    if (requests > 1) return;
    socket.pause();
    socket.write(EARLY_RESPONSE);
  });
  const forwarder = forwardTo(endpoint.address);
  const memory = new ByteBudget(2 * BODY_BYTES);
  const server = await listenHolding(new HeldRequests(), {
    memory,
    handle: forwarder.handle,
  });
  server.applyLimits({
    headerBytes: 1_000,
    headerTimeoutMs: 3_000,
    bodyBytes: BODY_BYTES,
    idleMs: 5_000,
  });
  const caller = await RawCaller.open(server.port);
  caller.send(postRequest("/1", { length: BODY_BYTES }));
  caller.send("x".repeat(BODY_BYTES));
  await until(() => caller.statuses.length === 1);
  t.is(memory.usedBytes, BODY_BYTES);
  endpoint.sockets[0]?.resume();
  await until(() => memory.usedBytes === 0);
  t.is(memory.usedBytes, 0);
  caller.close();
  await server.close();
  forwarder.close();
  endpoint.close();
});

// Guards against a body that stays in memory, uncounted, while a slow caller
// reads the response.
test("a body is freed when the streaming of its response begins", async (t) => {
  let handled: CallerRequest | undefined;
  const memory = new ByteBudget(100_000);
  const server = await listenHolding(new HeldRequests(), {
    memory,
    handle: (req) => {
      handled = req;
      const response = responseOf(Buffer.from("begin")) as EndpointResponse;
      const remainder = { pipe: () => {}, resume: () => {}, cancel: () => {} };
      const body = { bytes: response.body.bytes, remainder };
      return Promise.resolve({ ...response, body });
    },
  });
  const caller = await RawCaller.open(server.port);
  caller.send(postRequest("/1", { length: 3, body: "abc" }));
  await until(() => caller.text.includes("begin"));
  t.deepEqual(handled?.body?.blocks, []);
  t.is(memory.usedBytes, 0);
  caller.close();
  await server.close();
});
