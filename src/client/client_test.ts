import test, { type ExecutionContext } from "ava";
import {
  createServer,
  type IncomingMessage,
  type ServerResponse,
} from "node:http";
import type { AddressInfo } from "node:net";
import { SeededRandom } from "../core/mod.ts";
import { Client } from "./client.ts";

/** What an instance does with one request to a service. */
type Answer = "ok" | "cut" | Refused;
interface Refused {
  readonly code: string;
  readonly outcome: "not-run" | "unknown";
}

interface Seen {
  readonly instance: number;
  readonly id: string;
  readonly home: string;
}

interface Setup {
  readonly client: Client;
  readonly seen: Seen[];
  readonly lookups: () => number;
}

/** Two instances whose answers to service requests follow a script. */
async function makeSetup(
  t: ExecutionContext,
  script: readonly Answer[],
  homeOf: (instance: number, lookup: number) => string = (i) => `home-${i}`,
): Promise<Setup> {
  const seen: Seen[] = [];
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
      answer(req, res, script[seen.length - 1] ?? "ok");
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

function answer(
  req: IncomingMessage,
  res: ServerResponse,
  what: Answer,
): void {
  if (what === "ok") res.end("done");
  else if (what === "cut") req.socket.destroy();
  else {
    res.setHeader("x-magnoliahook-outcome", what.outcome);
    res.statusCode = 503;
    res.end(JSON.stringify({ ...what, message: "m" }));
  }
}

const REFUSED: Refused = { code: "operation_refused", outcome: "not-run" };
const NO_ROOM: Refused = { code: "no_capacity", outcome: "not-run" };
const TOO_FAST: Refused = { code: "rate_exceeded", outcome: "not-run" };
const UNKNOWN: Refused = { code: "outcome_unknown", outcome: "unknown" };
const BAD: Refused = { code: "bad_request", outcome: "not-run" };

/**
 * A caller's first attempt is cut off, refused or not answered. Repeated under
 * another home it would be a second operation; given up too early, a hold is
 * lost though its answer waits at the system.
 */
const TABLE: {
  what: string;
  script: Answer[];
  homes: string[];
  told: string;
}[] = [
  {
    what: "cut, then answered",
    script: ["cut", "ok"],
    homes: ["home-0", "home-0"],
    told: "done",
  },
  {
    what: "cut, then refused for good, then answered",
    script: ["cut", REFUSED, "ok"],
    homes: ["home-0", "home-0", "home-0~1"],
    told: "done",
  },
  {
    what: "cut, then no room at the door, then answered",
    script: ["cut", NO_ROOM, "ok"],
    homes: ["home-0", "home-0", "home-0"],
    told: "done",
  },
  {
    what: "no room, then answered",
    script: [NO_ROOM, "ok"],
    homes: ["home-0", "home-1~1"],
    told: "done",
  },
  {
    what: "over the rate",
    script: [TOO_FAST],
    homes: ["home-0"],
    told: "not-run",
  },
  {
    what: "unknown, then over the rate, then answered",
    script: [UNKNOWN, TOO_FAST, "ok"],
    homes: ["home-0", "home-0", "home-0"],
    told: "done",
  },
  {
    what: "unknown, then no valid key",
    script: [UNKNOWN, { code: "unauthenticated", outcome: "not-run" }],
    homes: ["home-0", "home-0"],
    told: "unknown",
  },
];

for (const { what, script, homes, told } of TABLE) {
  test(`a caller is ${what}`, async (t) => {
    const { client, seen } = await makeSetup(t, script);
    const result = await client.send(REQUEST);
    const got = result.match(
      (a) => new TextDecoder().decode(a.body),
      (f) => f.outcome ?? "no outcome",
    );
    t.is(got, told);
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
 * An application repeats an id that was answered, first with a wrong body by
 * mistake. Were the refusal of that taken for "not run", the id would get a
 * new home and the order would be confirmed a second time.
 */
test("an answered id keeps its home whatever is refused later", async (t) => {
  const { client, seen } = await makeSetup(t, ["ok", BAD, "ok"]);
  const req = { ...REQUEST, operationId: "op" };
  await client.send(req);
  await client.send({ ...req, body: "other" });
  await client.send(req);
  t.deepEqual(seen.map((s) => s.home), ["home-0", "home-0", "home-0"]);
  t.is(client.homeOf("op"), "home-0");
});

/**
 * Many requests of one caller begin at once when its look-up is over its time.
 * A look-up for each would fall on instances that may be slow already, and the
 * requests would spend their patience on it.
 */
test("after a refusal the next home comes from a new look-up", async (t) => {
  // The instance that kept the second records of every home known so far has
  // died. Tried again at those homes, the request is refused until the
  // look-up runs out, although new homes would take it.
  const { client, seen } = await makeSetup(
    t,
    [NO_ROOM, "ok"],
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

test("requests that begin together share a look-up", async (t) => {
  const { client, lookups } = await makeSetup(t, []);
  await Promise.all(Array.from({ length: 20 }, () => client.send(REQUEST)));
  t.is(lookups(), 1);
});
