import test from "ava";
import type { AddressInfo } from "node:net";
import { callerApp } from "./caller_app.ts";
import type { RequestPath } from "./request_path.ts";

async function setup() {
  const asked: string[] = [];
  const app = callerApp({
    path: {} as RequestPath,
    ready: () => true,
    lookup: (client) => {
      asked.push(client);
      return { reuse_ms: 1_000, instances: [] };
    },
  });
  const server = app.listen(0, "127.0.0.1");
  await new Promise((resolve) => server.once("listening", resolve));
  const { port } = server.address() as AddressInfo;
  return { asked, url: `http://127.0.0.1:${port}/v1/lookup`, server };
}

test("a look-up is for the address given, or else for the one who asks", async (t) => {
  const { asked, url, server } = await setup();
  await fetch(url);
  await fetch(`${url}?client=203.0.113.9`);
  const body = JSON.stringify({ lookups: [{ client: "2001:db8::1" }, {}] });
  const headers = { "content-type": "application/json" };
  const res = await fetch(url, { method: "POST", headers, body });
  t.is((await res.json() as { answers: unknown[] }).answers.length, 2);
  t.deepEqual(asked, ["127.0.0.1", "203.0.113.9", "2001:db8::1", "127.0.0.1"]);
  server.close();
});

test("a client that is no address is refused with its path", async (t) => {
  const { asked, url, server } = await setup();
  const res = await fetch(`${url}?client=nowhere`);
  t.is(res.status, 400);
  t.is((await res.json() as { code: string }).code, "bad_request");
  t.deepEqual(asked, []);
  server.close();
});
