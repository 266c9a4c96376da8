import test from "ava";
import type { AddressInfo } from "node:net";
import { callerApp } from "./caller_app.ts";
import type { RequestPipeline } from "./request_pipeline.ts";

async function setup() {
  const lookedUp: string[] = [];
  const app = callerApp({
    path: {} as RequestPipeline,
    ready: () => true,
    lookup: (client) => {
      lookedUp.push(client);
      return { reuse_ms: 1_000, instances: [] };
    },
  });
  const server = app.listen(0, "127.0.0.1");
  await new Promise((resolve) => server.once("listening", resolve));
  const { port } = server.address() as AddressInfo;
  return { lookedUp, url: `http://127.0.0.1:${port}/v1/lookup`, server };
}

test("a look-up uses the given client address, or else the caller's own", async (t) => {
  const { lookedUp, url, server } = await setup();
  await fetch(url);
  await fetch(`${url}?client=203.0.113.9`);
  const body = JSON.stringify({ lookups: [{ client: "2001:db8::1" }, {}] });
  const headers = { "content-type": "application/json" };
  const res = await fetch(url, { method: "POST", headers, body });
  t.is((await res.json() as { answers: unknown[] }).answers.length, 2);
  t.deepEqual(lookedUp, [
    "127.0.0.1",
    "203.0.113.9",
    "2001:db8::1",
    "127.0.0.1",
  ]);
  server.close();
});

test("a look-up with an invalid client address gets a 400", async (t) => {
  const { lookedUp, url, server } = await setup();
  const res = await fetch(`${url}?client=nowhere`);
  t.is(res.status, 400);
  t.is((await res.json() as { code: string }).code, "bad_request");
  t.deepEqual(lookedUp, []);
  server.close();
});
