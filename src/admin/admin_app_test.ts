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

interface ApiResponse {
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
  ): Promise<ApiResponse> => {
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

test("the bootstrap token is valid only until the document has a role", async (t) => {
  const { call, access } = await setup(t, {});
  const bootstrap = { token: BOOTSTRAP, headers: CREATE };
  const first = await call("PUT", "/v1/sections/access", {
    ...bootstrap,
    body: {
      roles: { all: { token_sha256: sha256("all-token"), edits: ["*"] } },
    },
  });
  t.is(first.status, 200, JSON.stringify(first.body));
  const again = await call("PUT", "/v1/sections/accounts", {
    ...bootstrap,
    body: ACCOUNTS,
  });
  t.is(again.status, 401);
  const next = { token: "all-token", headers: CREATE, body: ACCOUNTS };
  t.is((await call("PUT", "/v1/sections/accounts", next)).status, 200);
  t.deepEqual(access, { roles: {} });
});

test("a section's version is its entity tag for reads and edits", async (t) => {
  const { call } = await setup(t, ROLES);
  const token = "security-token";
  const path = "/v1/sections/accounts";
  const created = await call("PUT", path, {
    token,
    headers: CREATE,
    body: ACCOUNTS,
  });
  t.is(created.etag, '"2"');
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

test("the later of two concurrent edits gets 412 and the change that won", async (t) => {
  // Two teams edit from version 2 of a section. Without the condition the later
  // write would silently overwrite the earlier one.
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

const SECTIONS_PATH = "/v1/sections";
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
    name: "a token that belongs to no role",
    method: "GET",
    path: "/v1/status",
    opts: { token: "guess" },
    status: 401,
    code: "unauthenticated",
  },
  {
    name: "the bootstrap token once there are roles",
    method: "PUT",
    path: `${SECTIONS_PATH}/accounts`,
    opts: { token: BOOTSTRAP, headers: CREATE, body: ACCOUNTS },
    status: 401,
    code: "unauthenticated",
  },
  {
    name: "another team's section",
    method: "PUT",
    path: `${SECTIONS_PATH}/accounts`,
    opts: { token: "rates-token", headers: CREATE, body: ACCOUNTS },
    status: 403,
    code: "forbidden",
  },
  {
    name: "a section part that another role names, by the owner of the kind",
    method: "PUT",
    path: `${SECTIONS_PATH}/services/crewdesk`,
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
    name: "the access section, by a role that does not own it",
    method: "DELETE",
    path: `${SECTIONS_PATH}/access`,
    opts: { token: "crew-token", headers: { "if-match": '"1"' } },
    status: 403,
    code: "forbidden",
  },
  {
    name: "an edit without a version",
    method: "PUT",
    path: `${SECTIONS_PATH}/accounts`,
    opts: { token: "all-token", body: ACCOUNTS },
    status: 428,
    code: "precondition_required",
  },
  {
    name: "a section with an unknown key",
    method: "PUT",
    path: `${SECTIONS_PATH}/accounts`,
    opts: { token: "all-token", headers: CREATE, body: { acounts: {} } },
    status: 422,
    code: "bad_section",
  },
  {
    name: "a section that names an unknown account",
    method: "PUT",
    path: `${SECTIONS_PATH}/rates`,
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
    path: `${SECTIONS_PATH}/accounts`,
    opts: { token: "all-token", headers: CREATE, raw: "{" },
    status: 400,
    code: "bad_request",
  },
  {
    name: "a body of another media type, which must not count as a removal",
    method: "PUT",
    path: `${SECTIONS_PATH}/access`,
    opts: {
      token: "all-token",
      headers: { "if-match": '"1"', "content-type": "text/plain" },
      raw: "x",
    },
    status: 400,
    code: "bad_request",
  },
  {
    name: "an unknown kind of section",
    method: "GET",
    path: `${SECTIONS_PATH}/ratess`,
    opts: { token: "all-token" },
    status: 400,
    code: "bad_request",
  },
  {
    name: "a section that does not exist",
    method: "GET",
    path: `${SECTIONS_PATH}/rates`,
    opts: { token: "all-token" },
    status: 404,
    code: "not_found",
  },
  {
    name: "a drain of an unknown zone",
    method: "PUT",
    path: "/v1/drains/zone/gulf-a",
    opts: { token: "services-token" },
    status: 404,
    code: "not_found",
  },
];

for (const row of REFUSALS) {
  test(`refused with a typed failure: ${row.name}`, async (t) => {
    const { call } = await setup(t, ROLES);
    const response = await call(row.method, row.path, row.opts);
    t.is(response.status, row.status, JSON.stringify(response.body));
    t.is(response.body.code, row.code);
    const sections = await call("GET", SECTIONS_PATH, { token: "all-token" });
    t.is(sections.body.generation, 1);
  });
}

test("a role may edit the section part that it names", async (t) => {
  const { call } = await setup(t, ROLES);
  const created = await call("PUT", `${SECTIONS_PATH}/services/crewdesk`, {
    token: "crew-token",
    headers: CREATE,
    body: { services: { crewdesk: {} } },
  });
  t.is(created.status, 200, JSON.stringify(created.body));
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

test("a store outage is reported, and the probes still pass", async (t) => {
  // If the probes failed with the store, an orchestrator would kill an instance
  // that still serves callers.
  const { call, platform } = await setup(t, ROLES);
  platform.faults.down = true;
  const read = await call("GET", SECTIONS_PATH, { token: "all-token" });
  t.is(read.status, 503);
  t.is(read.body.code, "platform_unavailable");
  t.is((await call("GET", "/livez")).status, 200);
  t.is((await call("GET", "/readyz")).status, 200);
});

test("every route but the probes requires a token", async (t) => {
  const { call } = await setup(t, ROLES);
  for (const route of ADMIN_ROUTES) {
    const response = await call(
      route.method.toUpperCase(),
      route.path.replaceAll(/:\w+/g, "x"),
    );
    const isProbe = ["/livez", "/readyz"].includes(route.path);
    t.is(response.status, isProbe ? 200 : 401, route.path);
  }
});
