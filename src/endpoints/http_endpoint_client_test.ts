import test from "ava";
import { text } from "node:stream/consumers";
import type { AccountId } from "../core/mod.ts";
import type { EndpointStatement } from "../decisions/steering/mod.ts";
import {
  listenScripted,
  type Script,
} from "../edge/testing/scripted_endpoint.ts";
import { HttpEndpointClient } from "./http_endpoint_client.ts";

function response(body: string): string {
  return `HTTP/1.1 200 OK\r\nContent-Length: ${body.length}\r\n\r\n${body}`;
}

/** A client and an endpoint that follows the script. */
async function setUp(script: Script) {
  const endpoint = await listenScripted(script);
  const client = new HttpEndpointClient();
  const statements: EndpointStatement[] = [];
  const send = async () => {
    const answer = await client.send({
      url: `http://${endpoint.address}`,
      method: "GET",
      path: "/",
      headers: {},
      body: undefined,
      account: "a" as AccountId,
      timeoutMs: 2_000,
      signal: new AbortController().signal,
      onStatement: (statement) => statements.push(statement),
    });
    return answer.isErr() ? answer.error.code : await text(answer.value.body);
  };
  const close = async () => {
    endpoint.close();
    await client.close();
  };
  return { send, close, sockets: endpoint.sockets, statements };
}

// Guards against a late response that goes to the caller of the next request.
test("bytes that wait unread on an idle connection are no response", async (t) => {
  let requests = 0;
  const { send, close, sockets } = await setUp((socket) => {
    socket.write(response(`own ${++requests}`));
  });
  t.is(await send(), "own 1");
  await new Promise((resolve) => setTimeout(resolve, 20));
  const second = new Promise<string>((resolve) => {
    setTimeout(() => {
      sockets[0]?.write(response("late"));
      resolve(send());
    }, 1);
  });
  t.is(await second, "own 2");
  await close();
});

test("a connection with part of a surplus response is not reused", async (t) => {
  let requests = 0;
  const { send, close, sockets } = await setUp((socket) => {
    const surplus = ++requests === 1 ? "HTTP/1.1 200 O" : "";
    socket.write(response(`own ${requests}`) + surplus);
  });
  t.is(await send(), "own 1");
  t.is(await send(), "own 2");
  t.is(sockets.length, 2);
  await close();
});

const STATEMENTS: readonly {
  readonly head: string;
  readonly want: EndpointStatement;
}[] = [
  {
    head: "200 OK\r\nretry-after: 3",
    want: { retryAfterMs: undefined, leaving: false },
  },
  {
    head: "200 OK\r\nx-leaving: true",
    want: { retryAfterMs: undefined, leaving: true },
  },
  {
    head: "503 No\r\nx-not-run: true\r\nretry-after: 3",
    want: { retryAfterMs: 3_000, leaving: false },
  },
  {
    head: "503 No\r\nretry-after: 1\r\nretry-after: 2\r\nx-leaving: true",
    want: { retryAfterMs: 2_000, leaving: true },
  },
  {
    head: "503 No\r\nretry-after: soon",
    want: { retryAfterMs: undefined, leaving: false },
  },
];

for (const { head, want } of STATEMENTS) {
  // Guards against a statement that is read by nobody.
  test(`what an endpoint states: ${head.replaceAll("\r\n", ", ")}`, async (t) => {
    const { send, close, statements } = await setUp((socket) => {
      socket.write(`HTTP/1.1 ${head}\r\nContent-Length: 0\r\n\r\n`);
    });
    await send();
    t.deepEqual(statements, [want]);
    await close();
  });
}

// Guards against a response that is none and is taken for the endpoint's.
for (const status of ["000", "099", "101", "600", "999"]) {
  test(`a response with status ${status} fails`, async (t) => {
    const { send, close } = await setUp((socket) => {
      const fields = "Content-Length: 2\r\nx-leaving: true\r\n";
      socket.write(`HTTP/1.1 ${status} X\r\n${fields}\r\nok`);
    });
    t.is(await send(), "endpoint_failed");
    await close();
  });
}

// Guards against an endpoint that counts as ready by a response that is none.
for (const status of ["000", "101", "600"]) {
  test(`a probe that is answered ${status} does not show readiness`, async (t) => {
    const endpoint = await listenScripted((socket) => {
      const body = JSON.stringify({ ready: true });
      const length = `Content-Length: ${body.length}`;
      socket.write(`HTTP/1.1 ${status} X\r\n${length}\r\n\r\n${body}`);
    });
    const client = new HttpEndpointClient();
    const report = await client.probe(`http://${endpoint.address}`, 500);
    t.false(report.isOk() && report.value.ready);
    endpoint.close();
    await client.close();
  });
}
