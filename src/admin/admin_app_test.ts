import test, { type ExecutionContext } from "ava";
import { SeededRandom, SystemClock } from "../core/mod.ts";
import {
  DocumentStore,
  emptyDocument,
  type SectionName,
  sha256,
  type SteeringDocument,
} from "../document/mod.ts";
import { Listener } from "../instance/listener.ts";
import { MemoryPlatform } from "../store/mod.ts";
import { FaultyPlatform } from "../store/testing/mod.ts";
import { adminApp } from "./admin_app.ts";
import { ADMIN_ROUTES } from "./routes.ts";

const BOOTSTRAP = "bootstrap-token";
const ROLES = {
  security: ["access", "accounts"],
  rates: ["rates"],
  services: ["services", "drains"],
  crew: ["services/crewdesk"],
  all: ["*"],
};

interface Answer {
  readonly status: number;
  readonly etag: string | null;
  // deno-lint-ignore no-explicit-any
  readonly body: any;
}

interface CallOptions {
  readonly token?: string;
  readonly body?: unknown;
  readonly raw?: string;
  readonly headers?: Record<string, string>;
}

async function setup(t: ExecutionContext, roles: Record<string, string[]>) {
  const clock = new SystemClock();
  const platform = new FaultyPlatform(new MemoryPlatform(clock), clock);
  const store = new DocumentStore({
    platform,
    clock,
    random: new SeededRandom(1),
  });
  let document: SteeringDocument = emptyDocument();
  const app = adminApp({
    ready: () => true,
    status: () => ({
      instance: "i1",
      zone: "gulf-a",
      generation: 0,
      rejected: [],
      contact_age_ms: null,
      seats: [],
      settled: false,
      running: 0,
      leaving: false,
      drained: false,
      drains: [],
      members: [],
      peers: { batches_sent: 0, listener_bytes: 0 },
    }),
    document: () => document,
    store,
    platform,
    bootstrapSha256: sha256(BOOTSTRAP),
  });
  const opened = await Listener.open({ host: "127.0.0.1", port: 0 }, app);
  const listener = opened._unsafeUnwrap();
  t.teardown(() => listener.close());
  const call = async (
    method: string,
    path: string,
    { token, body, raw, headers }: CallOptions = {},
  ): Promise<Answer> => {
    const sent = raw ?? (body === undefined ? null : JSON.stringify(body));
    const res = await fetch(listener.url + path, {
      method,
      body: sent,
      headers: {
        ...(sent === null ? {} : { "content-type": "application/json" }),
        ...(token === undefined ? {} : { authorization: `Bearer ${token}` }),
        ...headers,
      },
    });
    await refresh();
    const etag = res.headers.get("etag");
    return { status: res.status, etag, body: await res.json() };
  };
  const refresh = async () => {
    const manifest = await store.manifest();
    if (manifest.isErr()) return;
    const loaded = await store.load(manifest.value.value);
    if (loaded.isOk()) document = loaded.value.document;
  };
  const access = {
    roles: Object.fromEntries(
      Object.entries(roles).map(([name, edits]) => [
        name,
        { token_sha256: sha256(`${name}-token`), edits },
      ]),
    ),
  };
  if (Object.keys(roles).length > 0) {
    const name = "access" as SectionName;
    await store.apply({ author: "t", sections: new Map([[name, access]]) });
    await refresh();
  }
  return { call, platform, access, app };
}

const CREATE = { "if-none-match": "*" };
const ACCOUNTS = { accounts: { a1: {} } };

test("an empty document is begun with the bootstrap token, once", async (t) => {
  const { call, access } = await setup(t, {});
  const begin = { token: BOOTSTRAP, headers: CREATE };
  const first = await call("PUT", "/v1/sections/access", {
    ...begin,
    body: {
      roles: { all: { token_sha256: sha256("all-token"), edits: ["*"] } },
    },
  });
  t.is(first.status, 200, JSON.stringify(first.body));
  const again = await call("PUT", "/v1/sections/accounts", {
    ...begin,
    body: ACCOUNTS,
  });
  t.is(again.status, 401);
  const next = { token: "all-token", headers: CREATE, body: ACCOUNTS };
  t.is((await call("PUT", "/v1/sections/accounts", next)).status, 200);
  t.deepEqual(access, { roles: {} });
});

test("a section is read and edited on its version", async (t) => {
  const { call } = await setup(t, ROLES);
  const token = "security-token";
  const path = "/v1/sections/accounts";
  const made = await call("PUT", path, {
    token,
    headers: CREATE,
    body: ACCOUNTS,
  });
  t.is(made.etag, '"2"');
  const read = await call("GET", path, { token: "rates-token" });
  t.deepEqual([read.body, read.etag], [ACCOUNTS, '"2"']);
  const edited = await call("PUT", path, {
    token,
    headers: { "if-match": '"2"' },
    body: { accounts: { a1: {}, a2: {} } },
  });
  t.is(edited.status, 200);
  t.is(edited.body.generation, 3);
});

test("the loser of a race gets 412 and the other change", async (t) => {
  // Two teams hold version 2 of a section. Without the condition the later
  // one would undo the earlier one unseen.
  const { call } = await setup(t, ROLES);
  const path = "/v1/sections/accounts";
  const put = (token: string, headers: Record<string, string>) =>
    call("PUT", path, { token, headers, body: ACCOUNTS });
  await put("security-token", CREATE);
  await put("all-token", { "if-match": '"2"' });
  const lost = await put("security-token", { "if-match": '"2"' });
  t.is(lost.status, 412);
  t.like(lost.body.change, { author: "all", version: 3 });
});

interface RefusalRow {
  readonly name: string;
  readonly method: string;
  readonly path: string;
  readonly opts: CallOptions;
  readonly status: number;
  readonly code: string;
}

const S = "/v1/sections";
const REFUSALS: RefusalRow[] = [
  {
    name: "no token",
    method: "GET",
    path: "/v1/status",
    opts: {},
    status: 401,
    code: "unauthenticated",
  },
  {
    name: "a token of no role",
    method: "GET",
    path: "/v1/status",
    opts: { token: "guess" },
    status: 401,
    code: "unauthenticated",
  },
  {
    name: "the bootstrap token where there are roles",
    method: "PUT",
    path: `${S}/accounts`,
    opts: { token: BOOTSTRAP, headers: CREATE, body: ACCOUNTS },
    status: 401,
    code: "unauthenticated",
  },
  {
    name: "another team's section",
    method: "PUT",
    path: `${S}/accounts`,
    opts: { token: "rates-token", headers: CREATE, body: ACCOUNTS },
    status: 403,
    code: "forbidden",
  },
  {
    name: "a part that another team names, by the owner of the kind",
    method: "PUT",
    path: `${S}/services/crewdesk`,
    opts: {
      token: "services-token",
      headers: CREATE,
      body: { services: { crewdesk: {} } },
    },
    status: 403,
    code: "forbidden",
  },
  {
    name: "another team's drains",
    method: "PUT",
    path: "/v1/drains/zone/gulf-a",
    opts: { token: "rates-token" },
    status: 403,
    code: "forbidden",
  },
  {
    name: "the roles themselves, by one who does not own them",
    method: "DELETE",
    path: `${S}/access`,
    opts: { token: "crew-token", headers: { "if-match": '"1"' } },
    status: 403,
    code: "forbidden",
  },
  {
    name: "an edit without a version",
    method: "PUT",
    path: `${S}/accounts`,
    opts: { token: "all-token", body: ACCOUNTS },
    status: 428,
    code: "precondition_required",
  },
  {
    name: "a section that is wrong",
    method: "PUT",
    path: `${S}/accounts`,
    opts: { token: "all-token", headers: CREATE, body: { acounts: {} } },
    status: 422,
    code: "bad_section",
  },
  {
    name: "a section that contradicts the others",
    method: "PUT",
    path: `${S}/rates`,
    opts: {
      token: "rates-token",
      headers: CREATE,
      body: { rates: { nobody: { rate_per_s: 1, burst: 1 } } },
    },
    status: 422,
    code: "bad_document",
  },
  {
    name: "a body that is not JSON",
    method: "PUT",
    path: `${S}/accounts`,
    opts: { token: "all-token", headers: CREATE, raw: "{" },
    status: 400,
    code: "bad_request",
  },
  {
    name: "a body of another type, which must not pass for a removal",
    method: "PUT",
    path: `${S}/access`,
    opts: {
      token: "all-token",
      headers: { "if-match": '"1"', "content-type": "text/plain" },
      raw: "x",
    },
    status: 400,
    code: "bad_request",
  },
  {
    name: "a kind of section that there is not",
    method: "GET",
    path: `${S}/ratess`,
    opts: { token: "all-token" },
    status: 400,
    code: "bad_request",
  },
  {
    name: "a section that there is not",
    method: "GET",
    path: `${S}/rates`,
    opts: { token: "all-token" },
    status: 404,
    code: "not_found",
  },
  {
    name: "a drain of a zone that there is not",
    method: "PUT",
    path: "/v1/drains/zone/gulf-a",
    opts: { token: "services-token" },
    status: 404,
    code: "not_found",
  },
];

for (const row of REFUSALS) {
  test(`refused as data: ${row.name}`, async (t) => {
    const { call } = await setup(t, ROLES);
    const answer = await call(row.method, row.path, row.opts);
    t.is(answer.status, row.status, JSON.stringify(answer.body));
    t.is(answer.body.code, row.code);
    const sections = await call("GET", S, { token: "all-token" });
    t.is(sections.body.generation, 1);
  });
}

test("a team edits the part that it names", async (t) => {
  const { call } = await setup(t, ROLES);
  const made = await call("PUT", `${S}/services/crewdesk`, {
    token: "crew-token",
    headers: CREATE,
    body: { services: { crewdesk: {} } },
  });
  t.is(made.status, 200, JSON.stringify(made.body));
});

test("drains are added, listed and removed", async (t) => {
  const { call } = await setup(t, ROLES);
  const token = "services-token";
  const path = "/v1/drains/instance/gulf-a-1";
  t.is((await call("PUT", path, { token })).status, 200);
  const listed = await call("GET", "/v1/drains", { token });
  t.deepEqual(listed.body.drains, [{ kind: "instance", id: "gulf-a-1" }]);
  t.is((await call("DELETE", path, { token })).status, 200);
  t.is((await call("DELETE", path, { token })).status, 404);
});

test("a store that is down is told as such, and liveness holds", async (t) => {
  // The store is out of reach. An orchestrator that took the instance for dead
  // would end it while it still serves callers.
  const { call, platform } = await setup(t, ROLES);
  platform.faults.down = true;
  const read = await call("GET", S, { token: "all-token" });
  t.is(read.status, 503);
  t.is(read.body.code, "platform_unavailable");
  t.is((await call("GET", "/livez")).status, 200);
  t.is((await call("GET", "/readyz")).status, 200);
});

test("every route but the probes asks for a token", async (t) => {
  const { call } = await setup(t, ROLES);
  for (const route of ADMIN_ROUTES) {
    const answer = await call(
      route.method.toUpperCase(),
      route.path.replaceAll(/:\w+/g, "x"),
    );
    const open = ["/livez", "/readyz"].includes(route.path);
    t.is(answer.status, open ? 200 : 401, route.path);
  }
});
