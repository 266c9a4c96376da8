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

/** What an endpoint writes back to each request, byte for byte. */
type Script = (socket: Socket, requestNumber: number) => void;

interface Setup {
  readonly run: (id: string) => Promise<RunResult>;
  readonly requests: string[];
  readonly connections: () => number;
}

/** An endpoint that answers with raw bytes, and a dispatch that uses it. */
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
 * An endpoint breaks HTTP in its answer: short, doubled, or before it was
 * asked. A caller that were given such bytes would take another order's
 * confirmation for its own.
 */
const BROKEN: { what: string; script: Script; told: string }[] = [
  {
    what: "a body shorter than announced",
    script: (s) => s.end("HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\nhalf"),
    told: "unknown",
  },
  {
    what: "a chunked body that breaks off",
    script: (s) =>
      s.end("HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n5\r\nhal"),
    told: "unknown",
  },
  {
    what: "a connection that ends before any answer",
    script: (s) => s.destroy(),
    told: "unknown",
  },
  {
    what: "bytes that are not HTTP",
    script: (s) => s.write("confirmed\r\n\r\n"),
    told: "unknown",
  },
  {
    what: "word that it did not run the request",
    script: (s) =>
      s.write(
        "HTTP/1.1 503 No\r\nx-not-run: true\r\ncontent-length: 0\r\n\r\n",
      ),
    told: "not-run",
  },
];

for (const { what, script, told } of BROKEN) {
  test(`an endpoint answers with ${what}`, async (t) => {
    const { run } = await makeSetup(t, script);
    t.is(textOf(await run("op")), told);
  });
}

/**
 * An endpoint sends its answer twice. The second copy would be taken for the
 * answer to the next request on that connection, another caller's.
 */
test("a doubled answer never reaches the next request", async (t) => {
  const body = (n: number) =>
    `HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\n#${n}`;
  const { run } = await makeSetup(t, (s, n) => s.write(body(n) + body(n)));
  for (let n = 1; n <= 4; n++) {
    const told = textOf(await run(`op${n}`));
    t.true(told === `#${n}` || told === "unknown", `request ${n} got ${told}`);
  }
});

/**
 * Two requests run at the same time. On one connection their answers could
 * cross; each therefore has a connection of its own.
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
 * An endpoint's answer was cut short and the rest arrives later. Were the
 * connection used again, the rest would be read as the next answer.
 */
test("a connection whose answer broke off is not used again", async (t) => {
  const short = "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\nzz\r\n";
  const whole = "HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok";
  const setup = await makeSetup(t, (s, n) => s.write(n === 1 ? short : whole));
  t.is(textOf(await setup.run("op1")), "unknown");
  t.is(textOf(await setup.run("op2")), "ok");
  t.is(setup.connections(), 2);
});
