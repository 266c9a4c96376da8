import test, { type ExecutionContext } from "ava";
import { createServer, type Socket } from "node:net";
import type { AddressInfo } from "node:net";
import { ok } from "neverthrow";
import {
  type AccountId,
  type EndpointId,
  type OperationId,
  type RegionId,
  SeededRandom,
  type ServiceId,
  SystemClock,
  type ZoneId,
} from "../core/mod.ts";
import { LinkBudgets } from "../decisions/regions/mod.ts";
import { RetryPolicy } from "../decisions/retries/mod.ts";
import { emptyDocument } from "../document/mod.ts";
import { HttpEndpointClient } from "../endpoints/mod.ts";
import type { OperationRequest, RunResult } from "../operations/mod.ts";
import { OperationDispatch } from "./operation_dispatch.ts";
import { SlotSender } from "./slot_sender.ts";

/** Writes the raw bytes with which an endpoint answers a request. */
type Script = (socket: Socket, requestNumber: number) => void;

interface Setup {
  readonly run: (id: string) => Promise<RunResult>;
  readonly requests: string[];
  readonly connections: () => number;
}

/** Starts an endpoint that answers with raw bytes, and a dispatch to it. */
async function makeSetup(
  t: ExecutionContext,
  script: Script,
): Promise<Setup> {
  const requests: string[] = [];
  let connections = 0;
  const sockets = new Set<Socket>();
  const server = createServer((socket) => {
    connections += 1;
    sockets.add(socket);
    socket.on("error", () => {});
    socket.on("data", (bytes) => {
      requests.push(bytes.toString());
      script(socket, requests.length);
    });
  });
  await new Promise<void>((resolve) =>
    server.listen(0, "127.0.0.1", () => resolve())
  );
  const { port } = server.address() as AddressInfo;
  const endpoints = new HttpEndpointClient();
  t.teardown(async () => {
    for (const socket of sockets) socket.destroy();
    server.close();
    await endpoints.close();
  });
  const dispatch = makeDispatch(endpoints, `http://127.0.0.1:${port}`);
  const run = (id: string) => dispatch.run(makeRequest(id));
  return { run, requests, connections: () => connections };
}

function makeDispatch(
  endpoints: HttpEndpointClient,
  url: string,
): OperationDispatch {
  const slot = {
    endpoint: "e1" as EndpointId,
    url,
    zone: "z1" as ZoneId,
    answered: () => {},
    stated: () => {},
    release: () => {},
  };
  const clock = new SystemClock();
  return new OperationDispatch({
    clock,
    dispatcher: {
      adopt: () => {},
      acquire: () => Promise.resolve(ok(slot)),
      tick: () => {},
    },
    sender: new SlotSender({
      clock,
      endpoints,
      links: new LinkBudgets({ region: "r1" as RegionId, part: () => 1 }),
      identity: { instance: "i1", incarnation: "0a" },
    }),
    retries: new RetryPolicy(new SeededRandom(1)),
    document: emptyDocument,
  });
}

function makeRequest(id: string): OperationRequest {
  return {
    account: "a1" as AccountId,
    id: id as OperationId,
    hasGeneratedId: false,
    fingerprint: "f",
    service: "s1" as ServiceId,
    method: "POST",
    path: `/${id}`,
    headers: {},
    body: new Uint8Array([1]),
    maxWaitMs: 5_000,
  };
}

function textOf(result: RunResult): string {
  return result.match(
    (a) => new TextDecoder().decode(a.body),
    (f) => f.outcome ?? "no outcome",
  );
}

/**
 * Malformed or incomplete responses. Relayed as they are, a caller could take
 * another operation's response for its own.
 */
const MALFORMED_RESPONSES: {
  what: string;
  script: Script;
  expected: string;
}[] = [
  {
    what: "a body shorter than announced",
    script: (s) => s.end("HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\nhalf"),
    expected: "unknown",
  },
  {
    what: "a chunked body that is cut off",
    script: (s) =>
      s.end("HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n5\r\nhal"),
    expected: "unknown",
  },
  {
    what: "a connection that ends before any answer",
    script: (s) => s.destroy(),
    expected: "unknown",
  },
  {
    what: "bytes that are not HTTP",
    script: (s) => s.write("confirmed\r\n\r\n"),
    expected: "unknown",
  },
  {
    what: "a header that says it did not run the request",
    script: (s) =>
      s.write(
        "HTTP/1.1 503 No\r\nx-not-run: true\r\ncontent-length: 0\r\n\r\n",
      ),
    expected: "not-run",
  },
];

for (const { what, script, expected } of MALFORMED_RESPONSES) {
  test(`an endpoint answers with ${what}`, async (t) => {
    const { run } = await makeSetup(t, script);
    t.is(textOf(await run("op")), expected);
  });
}

/**
 * An endpoint sends its response twice. The second copy must not be read as
 * the response to the next request on the connection, another caller's.
 */
test("a duplicate response never reaches the next request", async (t) => {
  const body = (n: number) =>
    `HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\n#${n}`;
  const { run } = await makeSetup(t, (s, n) => s.write(body(n) + body(n)));
  for (let n = 1; n <= 4; n++) {
    const received = textOf(await run(`op${n}`));
    t.true(
      received === `#${n}` || received === "unknown",
      `request ${n} got ${received}`,
    );
  }
});

/**
 * Two concurrent requests on one connection could get each other's responses,
 * so each has a connection of its own.
 */
test("one connection carries one request at a time", async (t) => {
  const waiting: { socket: Socket; path: string }[] = [];
  const setup = await makeSetup(t, (socket) => {
    const path = /POST (\S+)/.exec(setup.requests.at(-1) ?? "")?.[1] ?? "";
    waiting.push({ socket, path });
    if (waiting.length < 2) return;
    for (const { socket, path } of waiting.reverse()) {
      const length = path.length;
      socket.write(
        `HTTP/1.1 200 OK\r\ncontent-length: ${length}\r\n\r\n${path}`,
      );
    }
  });
  const results = await Promise.all([setup.run("op1"), setup.run("op2")]);
  t.deepEqual(results.map(textOf), ["/op1", "/op2"]);
  t.is(setup.connections(), 2);
});

/**
 * A response is cut short and its rest arrives later. On a reused connection
 * the rest would be read as the next response.
 */
test("a connection with an incomplete response is not reused", async (t) => {
  const short = "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\nzz\r\n";
  const whole = "HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok";
  const setup = await makeSetup(t, (s, n) => s.write(n === 1 ? short : whole));
  t.is(textOf(await setup.run("op1")), "unknown");
  t.is(textOf(await setup.run("op2")), "ok");
  t.is(setup.connections(), 2);
});
