import test from "ava";
import { connect, type Socket } from "node:net";
import { SystemClock } from "../core/mod.ts";
import type { SendResult } from "./endpoint_sender.ts";
import { HttpEndpointSender } from "./http_endpoint_sender.ts";
import { forwardTo } from "./testing/forward_to.ts";
import {
  HeldRequests,
  listenHolding,
  settle,
  until,
} from "./testing/held_requests.ts";
import { outgoing } from "./testing/outgoing_request.ts";
import { PlainCodec } from "./testing/plain_codec.ts";
import { listenScripted } from "./testing/scripted_endpoint.ts";
import { endpointRow } from "./testing/traffic_fixtures.ts";

const REFUSAL = "HTTP/1.1 503 No\r\nid: q1\r\nnot-run: 1\r\n";
const INFORMATIONAL = "HTTP/1.1 100 Continue\r\n\r\n";

/** Writes pieces until the connection is closed. */
function writeEndlessly(socket: Socket, piece: string, everyMs: number): void {
  const write = () => {
    if (socket.destroyed) return;
    if (everyMs > 0) socket.write(piece, () => setTimeout(write, everyMs));
    else socket.write(piece, () => setImmediate(write));
  };
  write();
}

/** Sends a request to an endpoint that writes without end after its head. */
async function sendToEndless(
  head: string,
  opts: {
    readonly piece: string;
    readonly everyMs?: number;
    /** How long the result may take, in milliseconds. */
    readonly limitMs?: number;
  },
): Promise<{ result: SendResult | "none"; closed: boolean; bytes: number }> {
  let bytes = 0;
  let closed = false;
  const endpoint = await listenScripted((socket, requests) => {
    if (requests > 1) return;
    socket.on("close", () => {
      closed = true;
      bytes = socket.bytesWritten;
    });
    socket.write(head);
    writeEndlessly(socket, opts.piece, opts.everyMs ?? 0);
  });
  const sender = new HttpEndpointSender(new PlainCodec(), new SystemClock());
  const row = endpointRow({ address: endpoint.address });
  const sending = sender.send(row, outgoing());
  const none = settle(opts.limitMs ?? 1_500).then(() => "none" as const);
  const result = await Promise.race([sending.result, none]);
  if (result !== "none") await until(() => closed).catch(() => {});
  sending.cancel();
  sender.close();
  endpoint.close();
  return { result, closed, bytes };
}

function kindOf(result: SendResult | "none"): string {
  if (result === "none") return result;
  return result.kind === "unknown" ? `unknown ${result.reason}` : result.kind;
}

// Guards against a refusal that is acted on only at the deadline, as its body
// does not end.
test("a refusal is acted on at its header, and its endless body is not read on", async (t) => {
  for (
    const [head, piece, everyMs] of [
      [
        "Transfer-Encoding: chunked\r\n\r\n",
        "400\r\n" + "x".repeat(1_024) + "\r\n",
        0,
      ],
      ["Connection: close\r\n\r\n", "x".repeat(1_024), 0],
      ["Transfer-Encoding: chunked\r\n\r\n", "1\r\nx\r\n", 5],
    ] as const
  ) {
    const { result, closed, bytes } = await sendToEndless(REFUSAL + head, {
      piece,
      everyMs,
    });
    t.is(kindOf(result), "not-run");
    t.true(closed);
    t.true(bytes < 16_000_000, `${bytes} bytes`);
  }
});

// Guards against an endpoint that takes the event loop from all others.
test("informational responses without end end the exchange", async (t) => {
  for (
    const [piece, everyMs] of [
      [INFORMATIONAL.repeat(1_000), 0],
      [INFORMATIONAL, 2],
      ["HTTP/1.1 103 Early Hints\r\nlink: a\r\n\r\n".repeat(100), 0],
    ] as const
  ) {
    const { result, closed } = await sendToEndless("", { piece, everyMs });
    t.is(kindOf(result), "unknown malformed");
    t.true(closed);
  }
});

// Guards against a check that refuses what HTTP allows.
test("a few informational responses precede a response", async (t) => {
  const endpoint = await listenScripted((socket) =>
    socket.write(
      `${
        INFORMATIONAL.repeat(3)
      }HTTP/1.1 200 OK\r\nid: q1\r\nContent-Length: 2\r\n\r\nab`,
    )
  );
  const sender = new HttpEndpointSender(new PlainCodec(), new SystemClock());
  const row = endpointRow({ address: endpoint.address });
  t.is(kindOf(await sender.send(row, outgoing()).result), "answer");
  sender.close();
  endpoint.close();
});

// Guards against a new connection for each refusal.
test("the connection of a refusal whose body ends is used again", async (t) => {
  const endpoint = await listenScripted((socket) =>
    socket.write(`${REFUSAL}Content-Length: 2\r\n\r\nab`)
  );
  const sender = new HttpEndpointSender(new PlainCodec(), new SystemClock());
  const row = endpointRow({ address: endpoint.address });
  for (let i = 0; i < 3; i++) {
    t.is(kindOf(await sender.send(row, outgoing()).result), "not-run");
    await until(() => sender.hasIdle(row));
  }
  t.is(endpoint.connections(), 1);
  sender.close();
  endpoint.close();
});

const BLOCK = "x".repeat(65_536);
/** Longer than a busy machine takes, in milliseconds. */
const BUSY_MACHINE_MS = 60_000;
const ENDLESS_HEADS: Record<string, string> = {
  "a status line": "HTTP/1.1 200 ",
  "a header field": "HTTP/1.1 200 OK\r\nx: ",
  "header fields": "HTTP/1.1 200 OK\r\n",
  "no response at all": "",
};

// Guards against a header that is kept until it ends.
for (const [name, head] of Object.entries(ENDLESS_HEADS)) {
  test(`bytes without end in ${name} end the exchange`, async (t) => {
    const piece = name === "header fields" ? "x: y\r\n".repeat(5_000) : BLOCK;
    const { result, closed, bytes } = await sendToEndless(head, {
      piece,
      limitMs: BUSY_MACHINE_MS,
    });
    t.regex(kindOf(result), /^unknown (malformed|broken)$/);
    t.true(closed);
    t.true(bytes < 16_000_000, `${bytes} bytes`);
  });
}

// Guards against endpoints that send without end to callers that read nothing,
// and so fill the memory of the instance.
for (const fromPeers of [false, true]) {
  test(`endless bodies to callers that do not read are held back, ${fromPeers ? "from peers" : "from callers"}`, async (t) => {
    const sent: Socket[] = [];
    const endpoint = await listenScripted((socket) => {
      sent.push(socket);
      socket.write("HTTP/1.1 200 OK\r\nid: q1\r\nsigned: yes\r\n");
      socket.write(`Content-Length: ${10 ** 12}\r\n\r\n`);
      writeEndlessly(socket, BLOCK, 0);
    });
    const { handle, close } = forwardTo(endpoint.address);
    const server = await listenHolding(new HeldRequests(), {
      handle,
      fromPeers,
    });
    const callers: Socket[] = [];
    t.teardown(async () => {
      for (const socket of callers) socket.destroy();
      close();
      endpoint.close();
      await server.close();
    });
    const hop = "magnoliahook-from: i1\r\nmagnoliahook-plan: 1\r\n" +
      "magnoliahook-attempts: 0\r\n";
    for (let i = 0; i < 12; i++) {
      const socket = connect(server.port, "127.0.0.1");
      socket.on("error", () => {});
      socket.write(`GET /${i} HTTP/1.1\r\nHost: h\r\n${hop}\r\n`);
      callers.push(socket);
    }
    await until(() => sent.length === 12, BUSY_MACHINE_MS);
    const written = () => sent.reduce((n, s) => n + s.bytesWritten, 0);
    await settle(1_000);
    t.true(written() < 12 * 16_000_000, `${written()} bytes`);
  });
}
