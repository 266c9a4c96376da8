import { Buffer } from "node:buffer";
import test from "ava";
import { MemoryMetrics } from "../core/mod.ts";
import {
  ByteBudget,
  INITIAL_RESPONSE_BYTES as RESPONSE,
  ResponseSizes,
} from "../decisions/memory/mod.ts";
import { MAX_BLOCK_BYTES } from "./body_blocks.ts";
import type { FlowResult } from "./flow_result.ts";
import {
  HeldRequests,
  listenHolding,
  responseOf,
  settle,
  until,
} from "./testing/held_requests.ts";
import { postRequest, RawCaller } from "./testing/raw_caller.ts";
import { RecordedLog } from "./testing/recorded_log.ts";

const LIMITS = {
  headerBytes: 1_000,
  headerTimeoutMs: 3_000,
  bodyBytes: 10_000_000,
  idleMs: 5_000,
};

/** A server with a budget of 1 MB. */
async function limited(rankOf: () => number = () => 0) {
  const held = new HeldRequests();
  const memory = new ByteBudget(1_000_000);
  const log = new RecordedLog();
  const metrics = new MemoryMetrics();
  const server = await listenHolding(held, {
    memory,
    log,
    metrics,
    classOf: () => ({ route: "r1", rank: rankOf() }),
  });
  server.applyLimits(LIMITS);
  return { held, memory, log, metrics, server };
}

// Guards against uploads, each within the limit of the plan, that together end
// the process (review/1), and against a refusal that its caller does not see
// since the connection is reset while the body is on the way.
test("a body that does not fit is refused before it is read", async (t) => {
  const { held, memory, log, metrics, server } = await limited();
  const first = await RawCaller.open(server.port);
  first.send(postRequest("/1", { length: 600_000, body: "x" }));
  await until(() => memory.usedBytes === 600_000 + RESPONSE);
  const second = await RawCaller.open(server.port);
  second.send(postRequest("/2", { length: 9_000_000 }));
  await until(() => second.statuses.length === 1);
  t.deepEqual(second.statuses, [503]);
  t.is(memory.usedBytes, 600_000 + RESPONSE);
  // What arrives of it is discarded, and the connection stays in use.
  second.send("x".repeat(9_000_000));
  second.get("/3");
  await until(() => held.forwarded.length === 1);
  held.answerAll();
  await until(() => second.statuses.length === 2);
  t.deepEqual(second.statuses, [503, 200]);
  t.deepEqual(held.forwarded, ["/3"]);
  t.is(metrics.counts.get("buffers.refused"), 1);
  const [refused] = log.of("body_refused");
  t.is(refused?.["bytes"], 9_000_000 + RESPONSE);
  t.is(refused?.["usedBytes"], 600_000 + RESPONSE);
  first.close();
  await until(() => memory.usedBytes === 0);
  second.close();
  await server.close();
});

// Guards against a body of unknown length that passes the budget.
test("a chunked body is refused once it does not fit", async (t) => {
  const { held, memory, server } = await limited();
  const caller = await RawCaller.open(server.port);
  caller.send(
    "POST /1 HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n",
  );
  const chunk = `4000\r\n${"x".repeat(0x4000)}\r\n`;
  for (let i = 0; i < 20; i++) caller.send(chunk);
  // What arrived, and at most one block that is not full.
  const arrived = 20 * 0x4000 + RESPONSE;
  await until(() => memory.usedBytes >= arrived);
  await settle();
  t.true(memory.usedBytes <= arrived + MAX_BLOCK_BYTES);
  for (let i = 0; i < 60; i++) caller.send(chunk);
  await until(() => caller.statuses.length === 1);
  t.deepEqual(caller.statuses, [503]);
  t.is(memory.usedBytes, 0);
  caller.send("0\r\n\r\n");
  caller.get("/2");
  await until(() => held.forwarded.length === 1);
  t.deepEqual(held.forwarded, ["/2"]);
  caller.close();
  await server.close();
});

// Guards against urgent requests that are refused beside others of less rank.
test("a less urgent body is refused first", async (t) => {
  let rank = 0;
  const { memory, server } = await limited(() => rank);
  const [first, second, third] = [
    await RawCaller.open(server.port),
    await RawCaller.open(server.port),
    await RawCaller.open(server.port),
  ];
  first.send(postRequest("/1", { length: 750_000, body: "x" }));
  await until(() => memory.usedBytes === 750_000 + RESPONSE);
  rank = 2;
  second.send(postRequest("/2", { length: 100_000, body: "x" }));
  await until(() => second.statuses.length === 1);
  t.deepEqual(second.statuses, [503]);
  rank = 1;
  third.send(postRequest("/3", { length: 100_000, body: "x" }));
  await until(() => memory.usedBytes === 850_000 + 2 * RESPONSE);
  for (const caller of [first, second, third]) caller.close();
  await server.close();
});

// Guards against memory that slow readers take without being counted, also in
// responses that wait for that to an earlier pipelined request.
test("responses count until the caller has taken them", async (t) => {
  const { held, memory, server } = await limited();
  const caller = await RawCaller.open(server.port);
  caller.get("/1", "/2");
  await until(() => held.forwarded.length === 2);
  held.answer("/2", responseOf(Buffer.alloc(2_000_000, "x")));
  await until(() => memory.usedBytes === 2_000_000 + RESPONSE);
  const other = await RawCaller.open(server.port);
  other.get("/3");
  await until(() => other.statuses.length === 1);
  t.deepEqual(other.statuses, [503]);
  held.answer("/1");
  await until(() => memory.usedBytes === 0);
  other.get("/4");
  await until(() => held.forwarded.length === 3);
  held.answer("/4");
  await until(() => memory.usedBytes === 0);
  caller.get("/5");
  await until(() => held.forwarded.length === 4);
  caller.socket.pause();
  held.answer("/5", responseOf(Buffer.alloc(32_000_000, "x")));
  await until(() => memory.usedBytes === 32_000_000);
  caller.close();
  await until(() => memory.usedBytes === 0);
  t.is(memory.usedBytes, 0);
  other.close();
  await server.close();
});

// Guards against uploads that stall and keep their memory for good.
test("a body that does not arrive within the caller's timeout is refused", async (t) => {
  const { held, memory, server } = await limited();
  const caller = await RawCaller.open(server.port);
  caller.send(
    "POST /1 HTTP/1.1\r\nHost: h\r\npatience: 100\r\nContent-Length: 9\r\n\r\nx",
  );
  await until(() => memory.usedBytes === 9 + RESPONSE);
  await until(() => caller.statuses.length === 1);
  t.is(memory.usedBytes, 0);
  t.deepEqual(held.forwarded, []);
  caller.close();
  await server.close();
});

// Guards against a body that is asked for and then refused, and against one
// that is taken for the next request.
test("a body that a caller announces is asked for once it fits", async (t) => {
  const { held, server } = await limited();
  const announce = (path: string, bytes: number) =>
    `POST ${path} HTTP/1.1\r\nHost: h\r\nExpect: 100-continue\r\n` +
    `Content-Length: ${bytes}\r\n\r\n`;
  const taken = await RawCaller.open(server.port);
  taken.send(announce("/1", 2));
  await until(() => taken.statuses.length === 1);
  t.deepEqual(taken.statuses, [100]);
  taken.send("ab");
  await until(() => held.forwarded.length === 1);
  held.answerAll();
  await until(() => taken.statuses.length === 2);
  t.deepEqual(taken.statuses, [100, 200]);
  const refused = await RawCaller.open(server.port);
  refused.send(announce("/2", 2_000_000));
  await refused.closed;
  t.deepEqual(refused.statuses, [503]);
  t.deepEqual(refused.closing, [0]);
  taken.close();
  await settle();
  await server.close();
});

// Guards against many requests at once whose responses together exceed the
// memory, as their sizes show only once they are buffered.
test("the usual size of a route's responses is reserved", async (t) => {
  const held = new HeldRequests();
  const memory = new ByteBudget(1_000_000);
  const responseSizes = new ResponseSizes();
  for (let i = 0; i < 200; i++) responseSizes.record("r1", 250_000);
  const server = await listenHolding(held, { memory, responseSizes });
  const caller = await RawCaller.open(server.port);
  caller.get("/1", "/2", "/3", "/4", "/5");
  await until(() => held.forwarded.length === 4);
  await settle();
  t.deepEqual(held.forwarded, ["/1", "/2", "/3", "/4"]);
  held.answerAll();
  await until(() => caller.statuses.length === 5);
  t.deepEqual(caller.statuses, [200, 200, 200, 200, 503]);
  caller.close();
  await server.close();
});

// Guards against the limit of a plan that is ignored, as Node.js takes a limit
// only when the server is created.
test("a header is limited by the plan in force", async (t) => {
  const { held, server } = await limited();
  const caller = await RawCaller.open(server.port);
  const before = "GET /1 HTTP/1.1\r\nHost: h\r\nF: ";
  const fits = "x".repeat(1_000 - before.length - 4);
  caller.send(`${before}${fits}\r\n\r\n`);
  await until(() => held.forwarded.length === 1);
  held.answerAll();
  await until(() => caller.statuses.length === 1);
  caller.send(`${before}${fits}x\r\n\r\n`);
  await until(() => caller.statuses.length === 2);
  t.deepEqual(caller.statuses, [200, 431]);
  server.applyLimits({ ...LIMITS, headerBytes: 1_001 });
  caller.send(`${before}${fits}x\r\n\r\n`);
  await until(() => held.forwarded.length === 2);
  caller.close();
  await server.close();
});

// Guards against headers that never end: 3,500 of 60 kB ended a process of 250 MB
// although the plan allows 16 KiB.
test("a header far beyond the plan's limit is refused before its end", async (t) => {
  const { held, server } = await limited();
  const caller = await RawCaller.open(server.port);
  const begun = "GET /1 HTTP/1.1\r\nHost: h\r\nF: ";
  caller.send(`${begun}${"x".repeat(2 * LIMITS.headerBytes)}`);
  await caller.closed;
  t.deepEqual(caller.statuses, [431]);
  t.deepEqual(held.forwarded, []);
  await server.close();
});

// Guards against connections that a caller opens and leaves unused, and against
// a timeout that cuts off requests in progress: Node.js checks only every 30 s.
test("a header must arrive within the plan's timeout", async (t) => {
  const { held, server } = await limited();
  server.applyLimits({ ...LIMITS, headerTimeoutMs: 300 });
  const unused = await RawCaller.open(server.port);
  const begun = await RawCaller.open(server.port);
  begun.send("GET /1 HTTP/1.1\r\n");
  const piped = await RawCaller.open(server.port);
  piped.get("/2");
  piped.send("GET /3 HTTP/1.1\r\n");
  const running = await RawCaller.open(server.port);
  running.get("/4");
  await begun.closed;
  t.deepEqual(begun.statuses, [408]);
  await unused.closed;
  t.is(unused.text, "");
  await settle(300);
  held.answerAll();
  await piped.closed;
  t.deepEqual(piped.statuses, [200]);
  t.deepEqual(piped.closing, [0]);
  await until(() => running.statuses.length === 1);
  t.deepEqual(running.statuses, [200]);
  t.deepEqual(running.closing, []);
  running.close();
  await server.close();
});

// Guards against a request that ends without a response and without a log line
// that names it.
test("a caller gets a failure if its response cannot be written", async (t) => {
  const held = new HeldRequests();
  const log = new RecordedLog();
  const server = await listenHolding(held, {
    log,
    handle: () => {
      const answer = responseOf(Buffer.from("ok"));
      return Promise.resolve({ ...answer, status: 1_000 } as FlowResult);
    },
  });
  const caller = await RawCaller.open(server.port);
  caller.send("GET /1 HTTP/1.1\r\nHost: h\r\nid: q7\r\n\r\n");
  await until(() => caller.statuses.length > 0 || caller.socket.closed);
  caller.close();
  await server.close();
  t.deepEqual(caller.statuses, [502]);
  const [line] = log.of("request_handler_failed");
  t.is(line?.request, "q7");
  t.true(line?.answered);
});
