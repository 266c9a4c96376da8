import test from "ava";
import fc from "fast-check";
import { stringify } from "smol-toml";
import { Buffer } from "node:buffer";
import { mkdtemp, rm, writeFile } from "node:fs/promises";
import { createServer } from "node:http";
import type { AddressInfo } from "node:net";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { MemoryMetrics, SystemClock } from "../core/mod.ts";
import { HttpPlatform, MemoryPlatform } from "../store/mod.ts";
import { loadSettings, parseSettings } from "../settings/mod.ts";
import { parseSummary } from "../slo/mod.ts";
import {
  contentKey,
  ContentStore,
  parseDocument,
  parseLenientManifest,
  parseManifest,
} from "./mod.ts";

const PROPERTY_PARAMS = { seed: 20_261_202, numRuns: 300 };
const SLOW_PROPERTY_PARAMS = { seed: 20_261_202, numRuns: 60 };

/** Values of any shape, with keys that collide with built-in properties. */
const arbitraryValue = fc.anything({
  withBigInt: true,
  withDate: true,
  withNullPrototype: true,
  key: fc.oneof(
    fc.string(),
    fc.constantFrom("__proto__", "constructor", "toString", "length"),
  ),
});

const VALID: Record<string, unknown> = {
  access: { roles: { r: { token_sha256: "0".repeat(64), edits: ["*"] } } },
  accounts: { accounts: { a1: { keys: [] } } },
  rates: { rates: { a1: { rate_per_s: 1, burst: 1 } } },
  regions: {
    regions: { gulf: { zones: { "gulf-a": { instances: 1 } } } },
    links: [],
  },
  services: { services: { s: { routes: [], endpoints: {} } } },
  drains: { drains: [{ kind: "zone", id: "gulf-a" }] },
};

/** The value with one path replaced; arrays on it keep only that element. */
function replaceAt(
  value: unknown,
  path: number[],
  replacement: unknown,
): unknown {
  const [step, ...rest] = path;
  if (step === undefined || value === null || typeof value !== "object") {
    return replacement;
  }
  const keys = Object.keys(value);
  const key = keys[step % Math.max(1, keys.length)];
  if (key === undefined) return replacement;
  const inner = (value as Record<string, unknown>)[key];
  return Array.isArray(value)
    ? [replaceAt(inner, rest, replacement)]
    : { ...value, [key]: replaceAt(inner, rest, replacement) };
}

test("arbitrary settings values parse or fail with a typed error", (t) => {
  fc.assert(
    fc.property(arbitraryValue, (value) => {
      const parsed = parseSettings(value);
      if (parsed.isErr()) t.is(parsed.error.code, "bad_settings");
    }),
    PROPERTY_PARAMS,
  );
});

test("valid settings with an arbitrary value at an arbitrary path", (t) => {
  const valid = {
    instance: { id: "i", zone: "z", region: "r" },
    platform: { url: "http://127.0.0.1:1", timeout_ms: 100 },
    caller: { host: "127.0.0.1", port: 0, limits: { connections: 5 } },
  };
  fc.assert(
    fc.property(
      fc.array(fc.nat(9), { maxLength: 4 }),
      arbitraryValue,
      (path, replacement) => {
        const parsed = parseSettings(replaceAt(valid, path, replacement));
        if (parsed.isErr()) t.is(parsed.error.code, "bad_settings");
      },
    ),
    PROPERTY_PARAMS,
  );
});

test("arbitrary settings files fail with an error that names the file", async (t) => {
  const dir = await mkdtemp(join(tmpdir(), "magnoliahook-hostile-"));
  t.teardown(() => rm(dir, { recursive: true }));
  const file = join(dir, "s.toml");
  const text = fc.oneof(
    fc.string(),
    fc.string({ unit: "binary" }),
    fc.constant(stringify({ instance: { id: "i" } })).map((s) => s + "\n[["),
  );
  await fc.assert(
    fc.asyncProperty(text, async (content) => {
      await writeFile(file, content);
      const loaded = await loadSettings(file);
      t.true(loaded.isErr() && loaded.error.message.includes(file));
    }),
    SLOW_PROPERTY_PARAMS,
  );
});

test("valid sections with an arbitrary value at an arbitrary path", (t) => {
  fc.assert(
    fc.property(
      fc.constantFrom(...Object.keys(VALID)),
      fc.array(fc.nat(9), { maxLength: 6 }),
      arbitraryValue,
      (name, path, put) => {
        const section = replaceAt(VALID[name], path, put);
        const parsed = parseDocument({ ...VALID, [name]: section });
        if (parsed.isOk()) return;
        t.true(["bad_section", "bad_document"].includes(parsed.error.code));
      },
    ),
    PROPERTY_PARAMS,
  );
});

test("arbitrary section names", (t) => {
  fc.assert(
    fc.property(fc.dictionary(fc.string(), arbitraryValue), (raw) => {
      t.notThrows(() => parseDocument(raw));
    }),
    PROPERTY_PARAMS,
  );
});

test("arbitrary stored text as manifest or summary", (t) => {
  const text = fc.oneof(fc.string(), fc.json(), arbitraryValue.map(toJson));
  fc.assert(
    fc.property(text, (value) => {
      for (const parse of [parseManifest, parseLenientManifest]) {
        const parsed = parse(value);
        if (parsed.isErr()) t.is(parsed.error.code, "bad_document");
      }
      t.notThrows(() => parseSummary(value));
    }),
    PROPERTY_PARAMS,
  );
});

function toJson(value: unknown): string {
  const replacer = (_: string, v: unknown) =>
    typeof v === "bigint" ? String(v) : v;
  return JSON.stringify(value, replacer) ?? "";
}

test("arbitrary stored text as a section's content", async (t) => {
  const text = fc.oneof(
    fc.string(),
    fc.json(),
    fc.nat(100).map((parts) => JSON.stringify({ parts })),
  );
  await fc.assert(
    fc.asyncProperty(text, async (value) => {
      const platform = new MemoryPlatform(new SystemClock());
      const digest = "0".repeat(64);
      await platform.put(contentKey(digest), value, { ifAbsent: true });
      const got = await new ContentStore(platform).get(digest);
      const { code } = got._unsafeUnwrapErr();
      t.true(["bad_document", "not_found"].includes(code), code);
    }),
    PROPERTY_PARAMS,
  );
});

test("arbitrary responses of the platform's service", async (t) => {
  // The platform's address serves another program's responses or truncates
  // them. Each call must still return a result.
  let answer = { status: 200, body: "", etag: "" };
  const server = createServer((_req, res) => {
    res.writeHead(answer.status, answer.etag ? { etag: answer.etag } : {});
    res.end(answer.body);
  });
  await new Promise<void>((resolve) => server.listen(0, "127.0.0.1", resolve));
  t.teardown(() => server.close());
  const { port } = server.address() as AddressInfo;
  const platform = new HttpPlatform({
    baseUrl: `http://127.0.0.1:${port}`,
    metrics: new MemoryMetrics(),
    timeoutMs: 20_000,
  });
  t.teardown(() => platform.close());
  const answers = fc.record({
    status: fc.constantFrom(200, 201, 304, 400, 404, 412, 413, 418, 500, 503),
    body: fc.oneof(fc.string(), fc.json(), fc.constant("[{}]")),
    etag: fc.constantFrom("", '"1"', "W/x", '"'),
  });
  await fc.assert(
    fc.asyncProperty(answers, async (next) => {
      const bodiless = next.status === 304;
      answer = bodiless ? { ...next, body: "" } : next;
      const results = await Promise.all([
        platform.get("k"),
        platform.list("k"),
        platform.put("k", "v", { ifAbsent: true }),
        platform.instances(),
      ]);
      for (const result of results) t.true(result.isOk() || result.isErr());
    }),
    SLOW_PROPERTY_PARAMS,
  );
  t.true(Buffer.byteLength(answer.body) >= 0);
});
