import { Buffer } from "node:buffer";
import test from "ava";
import { MAX_CONCURRENT_REQUESTS } from "./caller_connection.ts";
import {
  HeldRequests,
  listenHolding,
  responseOf,
  settle,
  until,
} from "./testing/held_requests.ts";
import { getRequest, postRequest, RawCaller } from "./testing/raw_caller.ts";

// Guards against a drain that loses forwarded requests: the response to the
// first of them closed the connection.
test("a drain answers all pipelined requests that were forwarded", async (t) => {
  const held = new HeldRequests();
  const server = await listenHolding(held);
  const caller = await RawCaller.open(server.port);
  caller.get("/1", "/2", "/3");
  await settle(200);
  server.startDraining();
  held.answer("/2");
  held.answer("/1");
  held.answer("/3");
  await caller.closed;
  t.deepEqual(held.forwarded, ["/1", "/2", "/3"]);
  t.deepEqual(caller.statuses, [200, 200, 200]);
  t.deepEqual(caller.closing, [2]);
  await server.close();
});

// Guards against a request that its caller resends, since it came behind the
// response that closes the connection, although it was forwarded.
test("a drain forwards nothing behind the last response", async (t) => {
  const held = new HeldRequests();
  const server = await listenHolding(held);
  const caller = await RawCaller.open(server.port);
  caller.get("/1");
  await until(() => held.forwarded.length === 1);
  server.startDraining();
  caller.get("/2");
  await settle();
  held.answer("/1");
  await caller.closed;
  t.deepEqual(held.forwarded, ["/1"]);
  t.deepEqual(caller.statuses, [200]);
  t.deepEqual(caller.closing, [0]);
  t.is(caller.error, undefined);
  await server.close();
});

// Guards against a connection that takes all capacity of an instance, and
// against held requests that are never started.
test("the concurrent requests of a connection are bounded", async (t) => {
  const held = new HeldRequests();
  const server = await listenHolding(held);
  const caller = await RawCaller.open(server.port);
  const paths = Array.from({ length: 100 }, (_, i) => `/${i}`);
  caller.get(...paths);
  await until(() => held.forwarded.length === MAX_CONCURRENT_REQUESTS);
  await settle();
  t.is(held.forwarded.length, MAX_CONCURRENT_REQUESTS);
  // A finished response that waits for the first still counts.
  held.answer("/1");
  await settle();
  t.is(held.forwarded.length, MAX_CONCURRENT_REQUESTS);
  while (caller.statuses.length < paths.length) {
    held.answerAll();
    await settle(5);
  }
  t.deepEqual(held.forwarded, paths);
  caller.close();
  await server.close();
});

// Guards against requests of callers that have left which use up endpoints:
// Node.js reports the loss of a connection only to the first response.
test("a caller that leaves cancels all its pipelined requests", async (t) => {
  for (const leave of ["destroy", "resetAndDestroy"] as const) {
    const held = new HeldRequests();
    const server = await listenHolding(held);
    const caller = await RawCaller.open(server.port);
    const paths = Array.from({ length: 12 }, (_, i) => `/${i}`);
    caller.get(...paths);
    await until(() => held.forwarded.length === MAX_CONCURRENT_REQUESTS);
    caller.socket[leave]();
    await until(() => held.cancelled.length === MAX_CONCURRENT_REQUESTS);
    t.is(held.forwarded.length, MAX_CONCURRENT_REQUESTS);
    await server.close();
  }
});

// Guards against a malformed request that cuts off the responses to complete
// ones before it, and against one behind it that is forwarded.
test("requests before a malformed one are answered, none behind it", async (t) => {
  const held = new HeldRequests();
  const server = await listenHolding(held);
  const caller = await RawCaller.open(server.port);
  caller.send(`${getRequest("/1")}${getRequest("/2")}NO HTTP\r\n\r\n`);
  await until(() => held.forwarded.length === 2);
  caller.get("/3");
  await settle();
  held.answerAll();
  await caller.closed;
  t.deepEqual(held.forwarded, ["/1", "/2"]);
  t.deepEqual(caller.statuses, [200, 200]);
  t.deepEqual(caller.closing, [1]);
  await server.close();
});

test("a malformed request alone is answered with its status", async (t) => {
  const held = new HeldRequests();
  const server = await listenHolding(held);
  const cases: [string, number][] = [
    ["NO HTTP\r\n\r\n", 400],
    [`GET / HTTP/1.1\r\nHost: h\r\nF: ${"x".repeat(70_000)}\r\n\r\n`, 431],
    [
      "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\nno\r\n",
      400,
    ],
  ];
  for (const [text, status] of cases) {
    const caller = await RawCaller.open(server.port);
    caller.send(text);
    await caller.closed;
    t.deepEqual(caller.statuses, [status]);
    t.is(caller.error, undefined);
  }
  t.deepEqual(held.forwarded, []);
  await server.close();
});

// Guards against the response of Node.js to a request without a host, which
// closes the connection while requests behind it are forwarded.
test("a request without a host is refused, and those behind it run", async (t) => {
  const held = new HeldRequests();
  const server = await listenHolding(held);
  const caller = await RawCaller.open(server.port);
  caller.send(`GET /1 HTTP/1.1\r\n\r\n${getRequest("/2")}`);
  await until(() => held.forwarded.length === 1);
  held.answerAll();
  await until(() => caller.statuses.length === 2);
  t.deepEqual(held.forwarded, ["/2"]);
  t.deepEqual(caller.statuses, [400, 200]);
  caller.close();
  await server.close();
});

// Guards against a late first request that is forwarded and then cut off at the
// end of the grace period (review/2).
test("a connection without a request is closed with the listener", async (t) => {
  const held = new HeldRequests();
  const server = await listenHolding(held);
  const unused = await RawCaller.open(server.port);
  const begun = await RawCaller.open(server.port);
  begun.send("GET /late HTTP/1.1\r\n");
  const kept = await RawCaller.open(server.port);
  kept.get("/1");
  await until(() => held.forwarded.length === 1);
  held.answerAll();
  await until(() => kept.statuses.length === 1);
  server.startDraining();
  server.stopListening();
  for (const caller of [unused, begun, kept]) caller.get("/late");
  await Promise.all([unused.closed, begun.closed, kept.closed]);
  await server.whenIdle();
  t.deepEqual(held.forwarded, ["/1"]);
  await server.close();
});

// Guards against a request that is forwarded when it is too late to answer it,
// and against a caller that cannot know whether it ran.
test("a request whose body is late is refused with the listener's close", async (t) => {
  const held = new HeldRequests();
  const server = await listenHolding(held);
  const caller = await RawCaller.open(server.port);
  caller.send(postRequest("/late", { length: 4, body: "ab" }));
  await settle();
  server.startDraining();
  server.stopListening();
  caller.send("cd");
  await caller.closed;
  t.deepEqual(held.forwarded, []);
  t.deepEqual(caller.statuses, [503]);
  t.deepEqual(caller.closing, [0]);
  await server.close();
});

// Guards against a stop that ends the process while forwarded requests run, or
// while slow readers have not received their responses.
test("a stop waits until slow readers have taken their responses", async (t) => {
  const held = new HeldRequests();
  const server = await listenHolding(held);
  const caller = await RawCaller.open(server.port);
  caller.socket.pause();
  caller.get("/1");
  await until(() => held.forwarded.length === 1);
  server.startDraining();
  server.stopListening();
  let isIdle = false;
  const idle = server.whenIdle().then(() => isIdle = true);
  await settle();
  t.false(isIdle);
  // More than the system buffers for a connection.
  const body = Buffer.alloc(32_000_000, "x");
  held.answer("/1", responseOf(body));
  await settle(300);
  t.false(isIdle);
  caller.socket.resume();
  await caller.closed;
  await idle;
  t.is(caller.text.split("x").length - 1, body.length);
  await server.close();
});
