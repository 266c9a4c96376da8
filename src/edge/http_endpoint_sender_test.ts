import test from "ava";
import { Buffer } from "node:buffer";
import type { Socket } from "node:net";
import process from "node:process";
import { ManualClock, SystemClock } from "../core/mod.ts";
import type { SendResult } from "./endpoint_sender.ts";
import { HttpEndpointSender } from "./http_endpoint_sender.ts";
import { until } from "./testing/held_requests.ts";
import { outgoing } from "./testing/outgoing_request.ts";
import { PlainCodec } from "./testing/plain_codec.ts";
import { listenScripted, type Script } from "./testing/scripted_endpoint.ts";
import { endpointRow } from "./testing/traffic_fixtures.ts";

function response(head: string, body = "", id = "q1"): string {
  return `HTTP/1.1 200 OK\r\nid: ${id}\r\nsigned: yes\r\n${head}\r\n${body}`;
}

/** Sends one request to an endpoint that follows the script. */
async function sendTo(script: Script): Promise<SendResult> {
  const endpoint = await listenScripted(script);
  const sender = new HttpEndpointSender(new PlainCodec(), new SystemClock());
  const row = endpointRow({ address: endpoint.address });
  const result = await sender.send(row, outgoing()).result;
  sender.close();
  endpoint.close();
  return result;
}

function summary(result: SendResult): string {
  switch (result.kind) {
    case "answer":
      return `answer ${result.body.bytes.toString()}`;
    case "unknown":
      return `unknown ${result.reason}`;
    default:
      return result.kind;
  }
}

const CASES: readonly {
  readonly name: string;
  readonly script: Script;
  readonly want: string;
}[] = [
  {
    name: "a complete response with a length",
    script: (s) => s.write(response("Content-Length: 2\r\n", "ab")),
    want: "answer ab",
  },
  {
    name: "a close-delimited response",
    script: (s) => s.end(response("Connection: close\r\n", "ab")),
    want: "answer ab",
  },
  {
    name: "a close-delimited response whose connection is reset",
    script: (s) => {
      s.write(response("Connection: close\r\n", "ab"));
      setTimeout(() => s.resetAndDestroy(), 30);
    },
    want: "unknown cut",
  },
  {
    name: "a response that closes before its length is reached",
    script: (s) => s.end(response("Content-Length: 9\r\n", "ab")),
    want: "unknown cut",
  },
  {
    name: "a chunked response that closes between two chunks",
    script: (s) =>
      s.end(
        response(
          "Connection: close\r\nTransfer-Encoding: chunked\r\n",
          "2\r\nab\r\n",
        ),
      ),
    want: "unknown cut",
  },
  {
    name: "a chunked response that is reset between two chunks",
    script: (s) => {
      s.write(
        response(
          "Connection: close\r\nTransfer-Encoding: chunked\r\n",
          "2\r\nab\r\n",
        ),
      );
      setTimeout(() => s.resetAndDestroy(), 30);
    },
    want: "unknown cut",
  },
  {
    name: "bytes that are not an HTTP response",
    script: (s) => s.write("what is this\r\n\r\n"),
    want: "unknown malformed",
  },
  {
    name: "the response to another request",
    script: (s) => s.write(response("Content-Length: 2\r\n", "ab", "q0")),
    want: "unknown foreign",
  },
  {
    name: "a connection that closes without a response",
    script: (s) => s.end(),
    want: "unknown broken",
  },
  {
    name: "an endpoint that states that it did not run the request",
    script: (s) =>
      s.write("HTTP/1.1 503 No\r\nnot-run: 1\r\nContent-Length: 0\r\n\r\n"),
    want: "not-run",
  },
  {
    name: "an address that another endpoint now has",
    script: (s) => s.write("HTTP/1.1 421 No\r\nContent-Length: 0\r\n\r\n"),
    want: "not-run",
  },
];

for (const { name, script, want } of CASES) {
  test(`${name}: ${want}`, async (t) => {
    // Guards against truncated or foreign responses that reach a caller.
    t.is(summary(await sendTo(script)), want);
  });
}

test("a refused connection counts as not sent", async (t) => {
  // Guards against no retry of a request that cannot have run.
  const gone = await listenScripted(() => {});
  gone.close();
  const sender = new HttpEndpointSender(new PlainCodec(), new SystemClock());
  const row = endpointRow({ address: gone.address });
  const result = await sender.send(row, outgoing()).result;
  sender.close();
  t.is(result.kind, "unsent");
});

test("a connection with extra bytes after a response is not reused", async (t) => {
  // Guards against a surplus response that reaches the next caller.
  const endpoint = await listenScripted((socket) => {
    const whole = response("Content-Length: 2\r\n", "ab");
    socket.write(whole + whole);
  });
  const sender = new HttpEndpointSender(new PlainCodec(), new SystemClock());
  const row = endpointRow({ address: endpoint.address });
  const first = await sender.send(row, outgoing()).result;
  await new Promise((resolve) => setTimeout(resolve, 50));
  const second = await sender.send(row, outgoing()).result;
  sender.close();
  endpoint.close();
  t.deepEqual([summary(first), summary(second)], ["answer ab", "answer ab"]);
  t.is(endpoint.connections(), 2);
});

for (
  const { name, head, body } of [
    { name: "with a length", head: "Content-Length: 2\r\n", body: "ab" },
    {
      name: "in chunks",
      head: "Transfer-Encoding: chunked\r\n",
      body: "2\r\nab\r\n0\r\n\r\n",
    },
  ]
) {
  // Guards against requests lost on a connection where a surplus response has
  // begun: the parser discards the beginning and then fails on the remainder.
  test(`a connection with part of a surplus response is not reused: ${name}`, async (t) => {
    const endpoint = await listenScripted((socket) => {
      socket.write(response(head, body) + "HTTP/1.1 200 O");
    });
    const sender = new HttpEndpointSender(new PlainCodec(), new SystemClock());
    const row = endpointRow({ address: endpoint.address });
    const first = await sender.send(row, outgoing()).result;
    const second = await sender.send(row, outgoing()).result;
    sender.close();
    endpoint.close();
    t.deepEqual([summary(first), summary(second)], ["answer ab", "answer ab"]);
    t.is(endpoint.connections(), 2);
  });

  test(`a connection is reused after a response in pieces: ${name}`, async (t) => {
    // Guards against a new connection for each request.
    const endpoint = await listenScripted((socket) => {
      const pieces = [...response(head, body)];
      const write = () => {
        socket.write(pieces.shift() ?? "");
        if (pieces.length > 0) setImmediate(write);
      };
      write();
    });
    const sender = new HttpEndpointSender(new PlainCodec(), new SystemClock());
    const row = endpointRow({ address: endpoint.address });
    const seen: string[] = [];
    for (let i = 0; i < 3; i++) {
      seen.push(summary(await sender.send(row, outgoing()).result));
    }
    sender.close();
    endpoint.close();
    t.deepEqual(seen, ["answer ab", "answer ab", "answer ab"]);
    t.is(endpoint.connections(), 1);
  });
}

test("bytes on an idle connection close it", async (t) => {
  // Guards against late bytes that are read as the next request's response.
  const endpoint = await listenScripted((socket) => {
    socket.write(response("Content-Length: 2\r\n", "ab"));
    setTimeout(() => socket.write("HTTP/1.1 200 O"), 10);
  });
  const sender = new HttpEndpointSender(new PlainCodec(), new SystemClock());
  const row = endpointRow({ address: endpoint.address });
  await sender.send(row, outgoing()).result;
  await new Promise((resolve) => setTimeout(resolve, 60));
  const second = await sender.send(row, outgoing()).result;
  sender.close();
  endpoint.close();
  t.is(summary(second), "answer ab");
  t.is(endpoint.connections(), 2);
});

// Guards against requests lost on connections with unread bytes, when a timer
// and the bytes are due together after a stall of the event loop.
test("bytes that wait unread on an idle connection close it", async (t) => {
  let connection: Socket | undefined;
  const endpoint = await listenScripted((socket) => {
    connection = socket;
    socket.write(response("Content-Length: 2\r\n", "ab"));
  });
  const sender = new HttpEndpointSender(new PlainCodec(), new SystemClock());
  const row = endpointRow({ address: endpoint.address });
  await sender.send(row, outgoing()).result;
  const second = await new Promise<SendResult>((resolve) => {
    setTimeout(() => {
      connection?.write(response("Content-Length: 2\r\n", "xx", "q0"));
      resolve(sender.send(row, outgoing()).result);
    }, 1);
  });
  sender.close();
  endpoint.close();
  t.is(summary(second), "answer ab");
  t.is(endpoint.connections(), 2);
});

test("a send that is cancelled before it starts sends nothing", async (t) => {
  // Guards against a request that runs although its caller has gone.
  let requests = 0;
  const endpoint = await listenScripted((socket) => {
    requests++;
    socket.write(response("Content-Length: 2\r\n", "ab"));
  });
  const sender = new HttpEndpointSender(new PlainCodec(), new SystemClock());
  const row = endpointRow({ address: endpoint.address });
  await sender.send(row, outgoing()).result;
  const sending = sender.send(row, outgoing());
  sending.cancel();
  t.deepEqual(await sending.result, { kind: "cancelled", sent: false });
  await sender.send(row, outgoing()).result;
  sender.close();
  endpoint.close();
  t.is(requests, 2);
});

// Guards against a counter of open requests that is never decremented.
test("a request that Node.js rejects is not sent", async (t) => {
  const sender = new HttpEndpointSender(new PlainCodec(), new SystemClock());
  const row = endpointRow({ address: "127.0.0.1:1" });
  const sending = sender.send(row, { ...outgoing(), path: "/a b" });
  t.is((await sending.result).kind, "unsent");
  sender.close();
});

test("a request without a body has a content length of 0", async (t) => {
  // Guards against a chunked body at endpoints that cannot read one.
  let head = "";
  const endpoint = await listenScripted((socket) => {
    socket.write(response("Content-Length: 2\r\n", "ab"));
  }, (chunk) => head += chunk);
  const sender = new HttpEndpointSender(new PlainCodec(), new SystemClock());
  const row = endpointRow({ address: endpoint.address });
  await sender.send(row, { ...outgoing(), method: "POST" }).result;
  sender.close();
  endpoint.close();
  t.regex(head, /content-length: 0/i);
  t.notRegex(head, /transfer-encoding/i);
});

test("a connection is reused after a complete response", async (t) => {
  const endpoint = await listenScripted((socket) =>
    socket.write(response("Content-Length: 2\r\n", "ab"))
  );
  const sender = new HttpEndpointSender(new PlainCodec(), new SystemClock());
  const row = endpointRow({ address: endpoint.address });
  await sender.send(row, outgoing()).result;
  await sender.send(row, outgoing()).result;
  sender.close();
  endpoint.close();
  t.is(endpoint.connections(), 1);
});

// Guards against listeners that accumulate on a connection with each request.
test("a connection that is reused often has no more listeners", async (t) => {
  const warnings: string[] = [];
  const onWarning = ({ message }: Error) => warnings.push(message);
  process.on("warning", onWarning);
  const endpoint = await listenScripted((socket) =>
    socket.write(response("Content-Length: 2\r\n", "ab"))
  );
  const sender = new HttpEndpointSender(new PlainCodec(), new SystemClock());
  const row = endpointRow({ address: endpoint.address });
  // Node.js warns at more than ten listeners for an event.
  for (let i = 0; i < 15; i++) await sender.send(row, outgoing()).result;
  sender.close();
  endpoint.close();
  process.off("warning", onWarning);
  t.is(endpoint.connections(), 1);
  t.deepEqual(warnings, []);
});

// Guards against connections to endpoints that get no more requests and are held
// open by both sides.
test("an idle connection is closed without a further request", async (t) => {
  const endpoint = await listenScripted((socket) =>
    socket.write(response("Content-Length: 2\r\n", "ab"))
  );
  const clock = new ManualClock();
  const sender = new HttpEndpointSender(new PlainCodec(), clock);
  const row = endpointRow({ address: endpoint.address });
  await sender.send(row, outgoing()).result;
  const [socket] = endpoint.sockets;
  let closed = false;
  const closing = new Promise<void>((resolve) =>
    socket?.once("close", () => {
      closed = true;
      resolve();
    })
  );
  clock.advance(8_900);
  await new Promise((resolve) => setTimeout(resolve, 20));
  t.false(closed);
  clock.advance(1_200);
  await closing;
  t.true(closed);
  sender.close();
  endpoint.close();
});

test("cancelling a request closes its connection", async (t) => {
  // Guards against endpoints that work for callers that disconnected.
  let arrived: (socket: Socket) => void;
  const arrival = new Promise<Socket>((resolve) => arrived = resolve);
  const endpoint = await listenScripted((socket) => arrived(socket));
  const sender = new HttpEndpointSender(new PlainCodec(), new SystemClock());
  const row = endpointRow({ address: endpoint.address });
  const sending = sender.send(row, outgoing());
  const socket = await arrival;
  const closed = new Promise((resolve) => socket.on("close", resolve));
  sending.cancel();
  const result = await sending.result;
  await closed;
  sender.close();
  endpoint.close();
  t.deepEqual(result, { kind: "cancelled", sent: true });
});

test("a long response is streamed with backpressure", async (t) => {
  const piece = Buffer.alloc(65_536, "x");
  const pieces = 8;
  const endpoint = await listenScripted((socket) => {
    const length = piece.length * pieces;
    socket.write(response(`Content-Length: ${length}\r\n`));
    for (let i = 0; i < pieces; i++) socket.write(piece);
  });
  const sender = new HttpEndpointSender(new PlainCodec(), new SystemClock());
  const row = endpointRow({ address: endpoint.address });
  const result = await sender.send(row, outgoing()).result;
  t.is(result.kind, "answer");
  if (result.kind !== "answer") return;
  let bytes = result.body.bytes.length;
  await new Promise<void>((resolve) => {
    const { remainder } = result.body;
    remainder?.pipe({
      data: (chunk) => {
        bytes += chunk.length;
        setTimeout(() => remainder.resume(), 1);
        return false;
      },
      end: resolve,
      fail: (reason) => t.fail(reason),
    });
  });
  sender.close();
  endpoint.close();
  t.is(bytes, piece.length * pieces);
});

// Guards against connections that stay paused for good, as nobody reads the rest.
test("the body of a refusal needs no memory", async (t) => {
  const body = "x".repeat(200_000);
  const endpoint = await listenScripted((socket) => {
    const head = `not-run: yes\r\nContent-Length: ${body.length}\r\n`;
    socket.write(response(head, body));
  });
  const sender = new HttpEndpointSender(new PlainCodec(), new SystemClock());
  const row = endpointRow({ address: endpoint.address });
  const req = { ...outgoing(), mayBuffer: () => false };
  for (let i = 0; i < 3; i++) {
    t.is((await sender.send(row, req).result).kind, "not-run");
    // The refusal is known before the end of its body.
    await until(() => sender.hasIdle(row));
  }
  t.is(endpoint.connections(), 1);
  sender.close();
  endpoint.close();
});

test("an endpoint that drops idle connections fails only one request", async (t) => {
  // Guards against repeated failures on connections dropped while idle.
  const endpoint = await listenScripted((socket, requests) => {
    if (requests === 1) socket.write(response("content-length: 2\r\n", "ok"));
    else socket.resetAndDestroy();
  });
  const clock = new ManualClock();
  const sender = new HttpEndpointSender(new PlainCodec(), clock);
  const row = endpointRow({ address: endpoint.address });
  const seen: string[] = [];
  for (let i = 0; i < 5; i++) {
    seen.push(summary(await sender.send(row, outgoing()).result));
    clock.advance(1_000);
  }
  sender.close();
  endpoint.close();
  t.deepEqual(seen, [
    "answer ok",
    "unknown broken",
    "answer ok",
    "answer ok",
    "answer ok",
  ]);
});

test("an endpoint that loses a response keeps its idle connections", async (t) => {
  // Guards against a new connection for each request to an endpoint of which one
  // connection broke while it ran a request.
  const clock = new ManualClock();
  let requests = 0;
  const endpoint = await listenScripted((socket) => {
    requests++;
    if (requests !== 2) {
      socket.write(response("content-length: 2\r\n", "ok"));
      return;
    }
    clock.advance(300);
    socket.resetAndDestroy();
  });
  const sender = new HttpEndpointSender(new PlainCodec(), clock);
  const row = endpointRow({ address: endpoint.address });
  const seen: string[] = [];
  for (let i = 0; i < 5; i++) {
    seen.push(summary(await sender.send(row, outgoing()).result));
    clock.advance(1_000);
  }
  sender.close();
  endpoint.close();
  t.deepEqual(seen, [
    "answer ok",
    "unknown broken",
    "answer ok",
    "answer ok",
    "answer ok",
  ]);
  t.is(endpoint.connections(), 2);
});

test("a connection is reused within the keep-alive timeout less a margin", async (t) => {
  // Guards against a new connection for each request at a low request rate.
  const endpoint = await listenScripted((socket) => {
    const head = "keep: 10000\r\ncontent-length: 2\r\n";
    socket.write(response(head, "ok"));
  });
  const clock = new ManualClock();
  const sender = new HttpEndpointSender(new PlainCodec(), clock);
  const row = endpointRow({ address: endpoint.address });
  const connections: number[] = [];
  for (const restMs of [8_000, 9_000, 0]) {
    await sender.send(row, outgoing()).result;
    connections.push(endpoint.connections());
    clock.advance(restMs);
  }
  sender.close();
  endpoint.close();
  t.deepEqual(connections, [1, 1, 2]);
});

const CONNECTIONS: readonly {
  readonly name: string;
  readonly reused: boolean;
  /** Number of the check that no longer allows the request. */
  readonly refusedCheck: number;
}[] = [
  { name: "before a connection is opened", reused: false, refusedCheck: 1 },
  { name: "while a connection is opened", reused: false, refusedCheck: 2 },
  { name: "before a connection is reused", reused: true, refusedCheck: 1 },
];

for (const { name, reused, refusedCheck } of CONNECTIONS) {
  // Guards against a request that is written after its endpoint asked for none.
  test(`a request that must not be sent any more ${name} is withheld`, async (t) => {
    let requests = 0;
    const endpoint = await listenScripted((s) => {
      requests++;
      s.write(response("Content-Length: 2\r\n", "ab"));
    });
    const sender = new HttpEndpointSender(new PlainCodec(), new SystemClock());
    const row = endpointRow({ address: endpoint.address });
    if (reused) await sender.send(row, outgoing()).result;
    const before = requests;
    let checks = 0;
    const maySend = () => ++checks < refusedCheck;
    const withheld = await sender.send(row, { ...outgoing(), maySend }).result;
    t.is(withheld.kind, "withheld");
    const next = await sender.send(row, outgoing()).result;
    t.is(summary(next), "answer ab");
    t.is(requests, before + 1);
    sender.close();
    endpoint.close();
  });
}

// Guards against new connections through a link on which only open ones work.
test("a request that is to reuse a connection opens none", async (t) => {
  const endpoint = await listenScripted((socket) => {
    socket.write(response("Content-Length: 2\r\n", "ab"));
  });
  const clock = new ManualClock();
  const sender = new HttpEndpointSender(new PlainCodec(), clock);
  const row = endpointRow({ address: endpoint.address });
  const reuse = { ...outgoing(), mayConnect: () => false };
  const seen = [await sender.send(row, reuse).result];
  seen.push(await sender.send(row, outgoing()).result);
  t.true(sender.hasIdle(row));
  seen.push(await sender.send(row, reuse).result);
  // Longer than a connection may be idle.
  clock.advance(60_000);
  t.false(sender.hasIdle(row));
  seen.push(await sender.send(row, reuse).result);
  sender.close();
  endpoint.close();
  const want = ["withheld", "answer ab", "answer ab", "withheld"];
  t.deepEqual(seen.map(summary), want);
  t.is(endpoint.connections(), 1);
});
