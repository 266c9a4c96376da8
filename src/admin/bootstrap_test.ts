import test from "ava";
import {
  MemoryMetrics,
  SilentLog,
  SystemClock,
  SystemRandom,
} from "../core/mod.ts";
import { sha256 } from "../document/mod.ts";
import { HttpEndpointClient } from "../endpoints/mod.ts";
import { Instance } from "../instance/mod.ts";
import { ConnectPeerTransport } from "../peers/mod.ts";
import { MemoryPlatform } from "../store/mod.ts";
import { parseSettings } from "../settings/mod.ts";

const BOOTSTRAP = "bootstrap-token";
const MAX_POLLS = 400;

test("an empty platform is set up through the first instance's API", async (t) => {
  const clock = new SystemClock();
  const cfg = parseSettings({
    instance: { id: "i1", zone: "gulf-a", region: "gulf" },
    platform: { url: "http://127.0.0.1:1" },
    admin: { bootstrap_token_sha256: sha256(BOOTSTRAP) },
  });
  const started = await Instance.start({
    cfg: cfg._unsafeUnwrap(),
    platform: new MemoryPlatform(clock),
    transport: new ConnectPeerTransport(),
    endpoints: new HttpEndpointClient(),
    clock,
    random: new SystemRandom(),
    metrics: new MemoryMetrics(),
    log: new SilentLog(),
  });
  const instance = started._unsafeUnwrap();
  t.teardown(() => instance.close());
  const status = async (path: string, init: RequestInit = {}) => {
    const res = await fetch(instance.adminUrl + path, init);
    await res.arrayBuffer();
    return res.status;
  };
  t.is(await status("/readyz"), 503);
  const access = {
    roles: { all: { token_sha256: sha256("t"), edits: ["*"] } },
  };
  const authorization = `Bearer ${BOOTSTRAP}`;
  const created = await status("/v1/sections/access", {
    method: "PUT",
    body: JSON.stringify(access),
    headers: {
      authorization,
      "content-type": "application/json",
      "if-none-match": "*",
    },
  });
  t.is(created, 200);
  for (let i = 0; i < MAX_POLLS && await status("/readyz") !== 200; i++) {
    await new Promise((resolve) => setTimeout(resolve, 25));
  }
  t.is(await status("/readyz"), 200);
  t.is(await status("/v1/status", { headers: { authorization } }), 401);
  const withRoleToken = { headers: { authorization: "Bearer t" } };
  t.is(await status("/v1/status", withRoleToken), 200);
});
