import test from "ava";
import express from "express";
import type { AddressInfo } from "node:net";
import { Readable } from "node:stream";
import { err, ok } from "neverthrow";
import {
  type Failure,
  failure,
  MemoryMetrics,
  SeededRandom,
  SystemClock,
} from "../core/mod.ts";
import { RetryPolicy } from "../decisions/retries/mod.ts";
import type { Slot } from "../decisions/steering/mod.ts";
import { parseDocument, sha256 } from "../document/mod.ts";
import type { EndpointClient } from "../endpoints/mod.ts";
import type { Operations } from "../operations/mod.ts";
import { ApiKeyTable } from "./api_key_table.ts";
import { RequestPipeline } from "./request_pipeline.ts";
import { SlotSender } from "./slot_sender.ts";

const KEY = "key-of-a1";

function documentWithRoute() {
  return parseDocument({
    accounts: {
      accounts: { a1: { keys: [{ id: "k1", sha256: sha256(KEY) }] } },
    },
    services: {
      services: {
        web: { routes: [{ method: "*", path_prefix: "/", idempotent: true }] },
      },
    },
  })._unsafeUnwrap();
}

/** A pipeline whose first attempt fails as given; the second succeeds. */
function setup(first: Failure) {
  let taken = 0;
  let tries = 0;
  const clock = new SystemClock();
  const random = new SeededRandom(1);
  const document = documentWithRoute();
  const keys = new ApiKeyTable();
  keys.adopt(document);
  const endpoints = {
    send: () => {
      tries += 1;
      const body = Readable.from(["done"]);
      const answer = { status: 200, headers: {}, body };
      return Promise.resolve(tries === 1 ? err(first) : ok(answer));
    },
  } as unknown as EndpointClient;
  const path = new RequestPipeline({
    clock,
    random,
    metrics: new MemoryMetrics(),
    keys,
    limiter: {
      adopt: () => {},
      take: () => {
        taken += 1;
        return Promise.resolve(ok(undefined));
      },
    },
    dispatcher: {
      adopt: () => {},
      tick: () => {},
      acquire: () => Promise.resolve(ok(slotOf(`e${tries + 1}`))),
    },
    operations: {} as Operations,
    sender: new SlotSender({
      clock,
      endpoints,
      links: {} as ConstructorParameters<typeof SlotSender>[0]["links"],
      identity: {} as ConstructorParameters<typeof SlotSender>[0]["identity"],
    }),
    retries: new RetryPolicy(random),
    document: () => document,
    outcomes: { record: () => {} },
  });
  return { path, counts: () => ({ taken, tries }) };
}

function slotOf(endpoint: string): Slot {
  return {
    endpoint,
    url: "http://unused",
    zone: "z1",
    answered: () => {},
    stated: () => {},
    release: () => {},
  } as unknown as Slot;
}

async function sendOne(path: RequestPipeline): Promise<number> {
  const app = express();
  app.use((req, res) =>
    path.handle(req, res, { service: "web", path: req.url })
  );
  const server = app.listen(0, "127.0.0.1");
  await new Promise((resolve) => server.once("listening", resolve));
  const { port } = server.address() as AddressInfo;
  const headers = { authorization: `Bearer ${KEY}` };
  const res = await fetch(`http://127.0.0.1:${port}/x`, { headers });
  await res.text();
  server.closeAllConnections();
  server.close();
  return res.status;
}

const FIRST_TRIES = [
  {
    name: "that may have run is charged to the rate limit",
    outcome: "unknown",
    taken: 2,
  },
  {
    name: "that did not run is not charged again",
    outcome: "not-run",
    taken: 1,
  },
] as const;

for (const { name, outcome, taken } of FIRST_TRIES) {
  test(`a retry after an attempt ${name}`, async (t) => {
    // An endpoint accepts requests and closes the connection. With uncharged
    // retries the account would run up to three times its rate.
    const { path, counts } = setup(
      failure("endpoint_failed", "broke", { outcome }),
    );
    t.is(await sendOne(path), 200);
    t.deepEqual(counts(), { taken, tries: 2 });
  });
}
