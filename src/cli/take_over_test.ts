import test from "ava";
import { mkdtemp, rm, writeFile } from "node:fs/promises";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { stringify } from "smol-toml";
import { MAX_REUSE_MS, MIN_REUSE_MS } from "../decisions/lookup/mod.ts";
import { EndpointServer } from "../../tools/standins/endpoint_server.ts";
import { StoreServer } from "../../tools/standins/store_server.ts";
import { CommandRunner } from "./testing/command_runner.ts";

const CALLS = 2;
const MAX_POLLS = 400;

interface RunningInstance {
  readonly callerUrl: string;
  readonly stop: () => Promise<unknown>;
}

async function serve(dir: string, storeUrl: string): Promise<RunningInstance> {
  const settings = join(dir, "settings.toml");
  const instance = { id: "gulf-a-1", zone: "gulf-a", region: "gulf" };
  await writeFile(
    settings,
    stringify({ instance, platform: { url: storeUrl } }),
  );
  const commands = new CommandRunner();
  return await new Promise((resolve) => {
    const done = commands.run(`serve --settings ${settings}`, (line) => {
      const { callerUrl } = JSON.parse(line);
      const stop = () => {
        commands.stop();
        return done;
      };
      setImmediate(() => resolve({ callerUrl, stop }));
    });
  });
}

async function call(callerUrl: string, key: string): Promise<unknown[]> {
  const res = await fetch(`${callerUrl}/services/mapview/closures`, {
    headers: { authorization: `Bearer ${key}` },
  });
  const body = await res.json() as { account?: string; code?: string };
  return [res.status, body.account, body.code];
}

/** What callers get once the instance has its seat: the look-up, and responses by key. */
async function observe(callerUrl: string, keys: readonly string[]) {
  for (let i = 0; i < MAX_POLLS; i++) {
    if ((await call(callerUrl, keys[0] ?? ""))[0] === 200) break;
    await new Promise((resolve) => setTimeout(resolve, 50));
  }
  const res = await fetch(`${callerUrl}/v1/lookup`);
  const lookup = await res.json() as {
    reuse_ms: number;
    instances: LookupInstance[];
  };
  const places = lookup.instances.map((i) => [i.instance, i.zone, i.region]);
  const statuses: unknown[][] = [];
  for (const key of keys) {
    for (let i = 0; i < CALLS; i++) statuses.push(await call(callerUrl, key));
  }
  // The reuse time is random for each response, so only its bounds are compared.
  const reuse = {
    least: lookup.reuse_ms >= MIN_REUSE_MS,
    most: lookup.reuse_ms <= MAX_REUSE_MS,
  };
  return { places, reuse, statuses };
}

interface LookupInstance {
  readonly instance: string;
  readonly zone: string;
  readonly region: string;
}

function sections(endpointUrl: string): Record<string, unknown> {
  // Buckets start empty: a1's refills at once, a2's not within the test.
  const ample = { rate_per_s: 1_000_000, burst: 1_000_000 };
  const scant = { rate_per_s: 0.000_01, burst: 1 };
  return {
    accounts: { accounts: { a1: {}, a2: {} } },
    rates: { rates: { a1: ample, a2: scant } },
    regions: { regions: { gulf: { zones: { "gulf-a": { instances: 1 } } } } },
    services: {
      services: {
        mapview: {
          routes: [{ method: "GET", path_prefix: "/", idempotent: true }],
          endpoints: {
            "mapview-1": {
              zone: "gulf-a",
              url: endpointUrl,
              slots: 4,
              connections: 100,
            },
          },
        },
      },
    },
  };
}

test("a new operator takes over from the document alone", async (t) => {
  // The contract passes to another operator and the old platform goes away.
  // Callers keep their keys; if the import changed a key, a rate or an
  // instance's location, they would be refused.
  const dir = await mkdtemp(join(tmpdir(), "magnoliahook-take-over-"));
  const [oldStore, newStore] = [
    await StoreServer.open(),
    await StoreServer.open(),
  ];
  const endpoint = await EndpointServer.open({
    id: "mapview-1",
    service: "mapview",
    slots: 4,
    workMs: 1,
    seed: 1,
  });
  const commands = new CommandRunner();
  for (const [name, value] of Object.entries(sections(endpoint.url))) {
    const file = join(dir, `${name}.json`);
    await writeFile(file, JSON.stringify(value));
    const at = `--platform ${oldStore.url}`;
    t.is((await commands.run(`apply ${name} ${file} ${at}`)).code, 0);
  }
  const issue = (account: string, id: string) =>
    commands.run(`key issue ${account} --id ${id} --platform ${oldStore.url}`);
  const keys = [(await issue("a1", "k1")).out, (await issue("a2", "k2")).out];
  const withdrawn = (await issue("a2", "k3")).out;
  await commands.run(`key withdraw a2 k3 --platform ${oldStore.url}`);
  const oldInstance = await serve(dir, oldStore.url);
  const observed = await observe(oldInstance.callerUrl, [...keys, withdrawn]);
  t.deepEqual(observed.reuse, { least: true, most: true });
  const file = join(dir, "whole.json");
  t.is(
    (await commands.run(`export ${file} --platform ${oldStore.url}`)).code,
    0,
  );
  await oldInstance.stop();
  await oldStore.close();

  const done = await commands.run(`import ${file} --platform ${newStore.url}`);
  t.is(done.code, 0, done.err);
  const newInstance = await serve(dir, newStore.url);
  t.deepEqual(
    await observe(newInstance.callerUrl, [...keys, withdrawn]),
    observed,
  );
  t.deepEqual(observed.statuses.map(([status]) => status), [
    ...[200, 200],
    ...[429, 429],
    ...[401, 401],
  ]);
  await newInstance.stop();
  await newStore.close();
  await endpoint.close();
  await rm(dir, { recursive: true });
});
