import test, { type ExecutionContext } from "ava";
import {
  createServer,
  type IncomingMessage,
  type ServerResponse,
} from "node:http";
import type { AddressInfo } from "node:net";
import { SeededRandom } from "../core/mod.ts";
import { Client } from "./client.ts";

/** How an instance responds to one request to a service. */
type ScriptedReply = "ok" | "cut" | FailureReply;
interface FailureReply {
  readonly code: string;
  readonly outcome: "not-run" | "unknown";
}

interface ReceivedRequest {
  readonly instance: number;
  readonly id: string;
  readonly home: string;
}

interface Setup {
  readonly client: Client;
  readonly seen: ReceivedRequest[];
  readonly lookups: () => number;
}

/** Starts two instances that answer service requests from a script. */
async function makeSetup(
  t: ExecutionContext,
  script: readonly ScriptedReply[],
  homeOf: (instance: number, lookup: number) => string = (i) => `home-${i}`,
): Promise<Setup> {
  const seen: ReceivedRequest[] = [];
  let lookups = 0;
  const urls: string[] = [];
  const serve =
    (instance: number) => (req: IncomingMessage, res: ServerResponse) => {
      if (req.url === "/v1/lookup") {
        lookups += 1;
        const instances = urls.map((url, i) => ({
          url,
          home: homeOf(i, lookups),
        }));
        res.end(JSON.stringify({ reuse_ms: 60_000, instances }));
        return;
      }
      seen.push({
        instance,
        id: String(req.headers["idempotency-key"]),
        home: String(req.headers["x-magnoliahook-home"]),
      });
      sendReply(req, res, script[seen.length - 1] ?? "ok");
    };
  for (const instance of [0, 1]) {
    const server = createServer(serve(instance));
    await new Promise<void>((resolve) =>
      server.listen(0, "127.0.0.1", () => resolve())
    );
    urls.push(`http://127.0.0.1:${(server.address() as AddressInfo).port}`);
    t.teardown(() => {
      server.closeAllConnections();
      server.close();
    });
  }
  const client = new Client({
    seeds: urls,
    key: "k",
    random: new SeededRandom(1),
  });
  t.teardown(() => client.close());
  return { client, seen, lookups: () => lookups };
}

function sendReply(
  req: IncomingMessage,
  res: ServerResponse,
  reply: ScriptedReply,
): void {
  if (reply === "ok") res.end("done");
  else if (reply === "cut") req.socket.destroy();
  else {
    res.setHeader("x-magnoliahook-outcome", reply.outcome);
    res.statusCode = 503;
    res.end(JSON.stringify({ ...reply, message: "m" }));
  }
}

const OPERATION_REFUSED: FailureReply = {
  code: "operation_refused",
  outcome: "not-run",
};
const NO_CAPACITY: FailureReply = { code: "no_capacity", outcome: "not-run" };
const RATE_EXCEEDED: FailureReply = {
  code: "rate_exceeded",
  outcome: "not-run",
};
const OUTCOME_UNKNOWN: FailureReply = {
  code: "outcome_unknown",
  outcome: "unknown",
};
const BAD_REQUEST: FailureReply = { code: "bad_request", outcome: "not-run" };

/**
 * The first attempt is cut off, refused or not answered. Guards against a retry
 * with another home, which would be a second operation, and against giving up
 * while the response is recorded and could still be fetched.
 */
const CASES: {
  title: string;
  script: ScriptedReply[];
  homes: string[];
  expected: string;
}[] = [
  {
    title: "connection cut, then answered",
    script: ["cut", "ok"],
    homes: ["home-0", "home-0"],
    expected: "done",
  },
  {
    title: "connection cut, then refused permanently, then answered",
    script: ["cut", OPERATION_REFUSED, "ok"],
    homes: ["home-0", "home-0", "home-0~1"],
    expected: "done",
  },
  {
    title: "connection cut, then no capacity, then answered",
    script: ["cut", NO_CAPACITY, "ok"],
    homes: ["home-0", "home-0", "home-0"],
    expected: "done",
  },
  {
    title: "no capacity, then answered",
    script: [NO_CAPACITY, "ok"],
    homes: ["home-0", "home-1~1"],
    expected: "done",
  },
  {
    title: "over the rate",
    script: [RATE_EXCEEDED],
    homes: ["home-0"],
    expected: "not-run",
  },
  {
    title: "unknown outcome, then over the rate, then answered",
    script: [OUTCOME_UNKNOWN, RATE_EXCEEDED, "ok"],
    homes: ["home-0", "home-0", "home-0"],
    expected: "done",
  },
  {
    title: "unknown outcome, then no valid key",
    script: [OUTCOME_UNKNOWN, { code: "unauthenticated", outcome: "not-run" }],
    homes: ["home-0", "home-0"],
    expected: "unknown",
  },
];

for (const { title, script, homes, expected } of CASES) {
  test(`client request: ${title}`, async (t) => {
    const { client, seen } = await makeSetup(t, script);
    const result = await client.send(REQUEST);
    const got = result.match(
      (a) => new TextDecoder().decode(a.body),
      (f) => f.outcome ?? "no outcome",
    );
    t.is(got, expected);
    t.deepEqual(seen.map((s) => s.home), homes);
    t.is(new Set(seen.map((s) => s.id)).size, 1);
  });
}

const REQUEST = {
  service: "s",
  method: "POST",
  path: "/",
  body: "b",
  timeoutMs: 20_000,
  idempotent: false,
} as const;

/**
 * An application reuses an answered id, once with a wrong body. If that refusal
 * counted as "not run", the id would get a new home and the operation would run
 * a second time.
 */
test("an answered id keeps its home after a later refusal", async (t) => {
  const { client, seen } = await makeSetup(t, ["ok", BAD_REQUEST, "ok"]);
  const req = { ...REQUEST, operationId: "op" };
  await client.send(req);
  await client.send({ ...req, body: "other" });
  await client.send(req);
  t.deepEqual(seen.map((s) => s.home), ["home-0", "home-0", "home-0"]);
  t.is(client.homeOf("op"), "home-0");
});

test("after a refusal the next home comes from a new look-up", async (t) => {
  // The instance that held the second records of every cached home has died.
  // Retries with those homes would be refused until the look-up expires, although
  // a new home would accept the request.
  const { client, seen } = await makeSetup(
    t,
    [NO_CAPACITY, "ok"],
    (instance, lookup) => `home-${instance}-${lookup}`,
  );
  const sent = await client.send({
    service: "orders",
    method: "POST",
    path: "/",
    body: "x",
    timeoutMs: 2_000,
    idempotent: false,
  });
  t.true(sent.isOk());
  const lookups = seen.map((s) => /^home-\d-(\d)/.exec(s.home)?.[1]);
  t.deepEqual(lookups, ["1", "2"]);
});

/**
 * Many requests start at once when the look-up has expired. One look-up per
 * request would load instances that may be slow already and use up the
 * requests' timeouts.
 */
test("requests that start together share a look-up", async (t) => {
  const { client, lookups } = await makeSetup(t, []);
  await Promise.all(Array.from({ length: 20 }, () => client.send(REQUEST)));
  t.is(lookups(), 1);
});
