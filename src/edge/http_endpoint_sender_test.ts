import test from "ava";
import { Buffer } from "node:buffer";
import { createServer, type Socket } from "node:net";
import { ManualClock, SystemClock } from "../core/mod.ts";
import type { OutgoingRequest, SendResult } from "./endpoint_sender.ts";
import { HttpEndpointSender } from "./http_endpoint_sender.ts";
import { PlainCodec } from "./testing/plain_codec.ts";
import { endpointRow } from "./testing/traffic_fixtures.ts";

/** What an endpoint does with a connection once a request came. */
type Script = (socket: Socket, requests: number) => void;

interface Endpoint {
  readonly address: string;
  /** Connections it has taken. */
  readonly connections: () => number;
  close(): void;
}

function listen(
  script: Script,
  onBytes: (chunk: Buffer) => void = () => {},
): Promise<Endpoint> {
  let taken = 0;
  const open = new Set<Socket>();
  const server = createServer((socket) => {
    taken++;
    open.add(socket);
    let requests = 0;
    socket.on("error", () => {});
    socket.on("data", (chunk) => {
      onBytes(chunk);
      script(socket, ++requests);
    });
  });
  return new Promise((resolve) => {
    server.listen(0, "127.0.0.1", () => {
      const address = server.address();
      const port = typeof address === "object" ? address?.port : 0;
      resolve({
        address: `127.0.0.1:${port}`,
        connections: () => taken,
        close: () => {
          for (const socket of open) socket.destroy();
          server.close();
        },
      });
    });
  });
}

function outgoing(requestId = "q1"): OutgoingRequest {
  return {
    method: "GET",
    path: "/p/1",
    headers: ["id", requestId],
    body: undefined,
    requestId,
  };
}

function answer(head: string, body = "", id = "q1"): string {
  return `HTTP/1.1 200 OK\r\nid: ${id}\r\nsigned: yes\r\n${head}\r\n${body}`;
}

/** Sends one request to an endpoint that follows the script. */
async function sendTo(script: Script): Promise<SendResult> {
  const endpoint = await listen(script);
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
    name: "a whole answer with a length",
    script: (s) => s.write(answer("Content-Length: 2\r\n", "ab")),
    want: "answer ab",
  },
  {
    name: "an answer that ends with its connection",
    script: (s) => s.end(answer("Connection: close\r\n", "ab")),
    want: "answer ab",
  },
  {
    name: "an answer without a length whose connection is reset",
    script: (s) => {
      s.write(answer("Connection: close\r\n", "ab"));
      setTimeout(() => s.resetAndDestroy(), 30);
    },
    want: "unknown cut",
  },
  {
    name: "an answer that closes before its length is reached",
    script: (s) => s.end(answer("Content-Length: 9\r\n", "ab")),
    want: "unknown cut",
  },
  {
    name: "a chunked answer that closes between two chunks",
    script: (s) =>
      s.end(
        answer(
          "Connection: close\r\nTransfer-Encoding: chunked\r\n",
          "2\r\nab\r\n",
        ),
      ),
    want: "unknown cut",
  },
  {
    name: "a chunked answer that is reset between two chunks",
    script: (s) => {
      s.write(
        answer(
          "Connection: close\r\nTransfer-Encoding: chunked\r\n",
          "2\r\nab\r\n",
        ),
      );
      setTimeout(() => s.resetAndDestroy(), 30);
    },
    want: "unknown cut",
  },
  {
    name: "bytes that are no answer",
    script: (s) => s.write("what is this\r\n\r\n"),
    want: "unknown malformed",
  },
  {
    name: "the answer to another request",
    script: (s) => s.write(answer("Content-Length: 2\r\n", "ab", "q0")),
    want: "unknown foreign",
  },
  {
    name: "a connection that closes without an answer",
    script: (s) => s.end(),
    want: "unknown broken",
  },
  {
    name: "an endpoint that says it did not run the request",
    script: (s) =>
      s.write("HTTP/1.1 503 No\r\nnot-run: 1\r\nContent-Length: 0\r\n\r\n"),
    want: "not-run",
  },
  {
    name: "an address that another endpoint has",
    script: (s) => s.write("HTTP/1.1 421 No\r\nContent-Length: 0\r\n\r\n"),
    want: "not-run",
  },
];

for (const { name, script, want } of CASES) {
  test(`${name}: ${want}`, async (t) => {
    // Guards against half an answer, or another's, that reaches a caller.
    t.is(summary(await sendTo(script)), want);
  });
}

test("an endpoint that does not listen was sent nothing", async (t) => {
  // Guards against a request that is not tried elsewhere though it never ran.
  const gone = await listen(() => {});
  gone.close();
  const sender = new HttpEndpointSender(new PlainCodec(), new SystemClock());
  const row = endpointRow({ address: gone.address });
  const result = await sender.send(row, outgoing()).result;
  sender.close();
  t.is(result.kind, "unsent");
});

test("bytes after a whole answer end the connection, and no request meets them", async (t) => {
  // Guards against an extra answer that reaches the next caller.
  const endpoint = await listen((socket) => {
    const whole = answer("Content-Length: 2\r\n", "ab");
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

test("bytes that come while a connection is idle close it", async (t) => {
  // Guards against late bytes that are read as the next request's answer.
  const endpoint = await listen((socket) => {
    socket.write(answer("Content-Length: 2\r\n", "ab"));
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

// Guards against a count of open requests that never goes down again.
test("a request that cannot be written is not sent", async (t) => {
  const sender = new HttpEndpointSender(new PlainCodec(), new SystemClock());
  const row = endpointRow({ address: "127.0.0.1:1" });
  const sending = sender.send(row, { ...outgoing(), path: "/a b" });
  t.is((await sending.result).kind, "unsent");
  sender.close();
});

test("a request without a body states that it has none", async (t) => {
  // Guards against a chunked body at endpoints that cannot read one.
  let head = "";
  const endpoint = await listen((socket) => {
    socket.write(answer("Content-Length: 2\r\n", "ab"));
  }, (chunk) => head += chunk);
  const sender = new HttpEndpointSender(new PlainCodec(), new SystemClock());
  const row = endpointRow({ address: endpoint.address });
  await sender.send(row, { ...outgoing(), method: "POST" }).result;
  sender.close();
  endpoint.close();
  t.regex(head, /content-length: 0/i);
  t.notRegex(head, /transfer-encoding/i);
});

test("a connection is used again after a whole answer", async (t) => {
  const endpoint = await listen((socket) =>
    socket.write(answer("Content-Length: 2\r\n", "ab"))
  );
  const sender = new HttpEndpointSender(new PlainCodec(), new SystemClock());
  const row = endpointRow({ address: endpoint.address });
  await sender.send(row, outgoing()).result;
  await sender.send(row, outgoing()).result;
  sender.close();
  endpoint.close();
  t.is(endpoint.connections(), 1);
});

test("a request that is cancelled closes its connection at the endpoint", async (t) => {
  // Guards against endpoints that work for callers who have left.
  let closed: () => void;
  const seen = new Promise<void>((resolve) => closed = resolve);
  const endpoint = await listen((socket) => {
    socket.on("close", () => closed());
  });
  const sender = new HttpEndpointSender(new PlainCodec(), new SystemClock());
  const row = endpointRow({ address: endpoint.address });
  const sending = sender.send(row, outgoing());
  await new Promise((resolve) => setTimeout(resolve, 50));
  sending.cancel();
  const result = await sending.result;
  await seen;
  sender.close();
  endpoint.close();
  t.deepEqual(result, { kind: "cancelled", sent: true });
});

test("a long answer is passed on piece by piece, as fast as it is taken", async (t) => {
  const piece = Buffer.alloc(65_536, "x");
  const pieces = 8;
  const endpoint = await listen((socket) => {
    const length = piece.length * pieces;
    socket.write(answer(`Content-Length: ${length}\r\n`));
    for (let i = 0; i < pieces; i++) socket.write(piece);
  });
  const sender = new HttpEndpointSender(new PlainCodec(), new SystemClock());
  const row = endpointRow({ address: endpoint.address });
  const result = await sender.send(row, outgoing()).result;
  t.is(result.kind, "answer");
  if (result.kind !== "answer") return;
  let bytes = result.body.bytes.length;
  await new Promise<void>((resolve) => {
    const { rest } = result.body;
    rest?.pipe({
      data: (chunk) => {
        bytes += chunk.length;
        setTimeout(() => rest.resume(), 1);
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

test("an endpoint that forgets idle connections loses one request, not one each time", async (t) => {
  // Guards against requests lost on connections that were forgotten while idle.
  const endpoint = await listen((socket, requests) => {
    if (requests === 1) socket.write(answer("content-length: 2\r\n", "ok"));
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

test("a connection rests as long as its endpoint says, less a margin", async (t) => {
  // Guards against a new connection for each request of a slow trickle.
  const endpoint = await listen((socket) => {
    const head = "keep: 10000\r\ncontent-length: 2\r\n";
    socket.write(answer(head, "ok"));
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
