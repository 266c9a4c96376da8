import test from "ava";
import { readFile } from "node:fs/promises";
import { parse } from "smol-toml";
import {
  parseDocument,
  type SteeringDocument,
} from "../../src/document/mod.ts";
import { exampleFiles } from "./examples.ts";

const ROOT = new URL("../../", import.meta.url);

for (const [path, text] of exampleFiles()) {
  test(`${path} matches the generated text; if not, run npm run reference`, async (t) => {
    t.is(await readFile(new URL(path, ROOT), "utf8"), text);
  });
}

interface Sizes {
  readonly regions: readonly string[];
  readonly linkMbit: number;
  readonly latencyMs: number;
  /** Service, endpoint count, slots per endpoint, connections per endpoint. */
  readonly services: readonly (readonly [string, number, number, number])[];
}

const SIZES: Record<string, Sizes> = {
  kuratori: {
    regions: ["eu-north", "eu-central", "ap-east"],
    linkMbit: 4_000,
    latencyMs: 12,
    services: [
      ["catalog", 20, 9, 390],
      ["allocator", 12, 9, 390],
      ["orderdesk", 12, 4, 390],
    ],
  },
  roadwatch: {
    regions: ["gulf", "piedmont", "delta"],
    linkMbit: 280,
    latencyMs: 12,
    services: [
      ["mapview", 18, 4, 360],
      ["signup", 12, 3, 360],
      ["crewdesk", 12, 3, 360],
    ],
  },
};

async function load(name: string): Promise<SteeringDocument> {
  const raw: Record<string, unknown> = {};
  for (const path of exampleFiles().keys()) {
    const section = new RegExp(`^examples/${name}/(.+)\\.toml$`).exec(path)
      ?.[1];
    if (section === undefined) continue;
    raw[section] = parse(await readFile(new URL(path, ROOT), "utf8"));
  }
  return parseDocument(raw)._unsafeUnwrap();
}

for (const [name, sizes] of Object.entries(SIZES)) {
  test(`the example ${name} has the sizes of its deployment`, async (t) => {
    const document = await load(name);
    t.deepEqual(Object.keys(document.regions), sizes.regions);
    for (const region of Object.values(document.regions)) {
      t.is(Object.keys(region.zones).length, 2);
    }
    t.is(document.links.length, 6);
    for (const link of document.links) {
      t.is(link.cap_mbit_per_s, sizes.linkMbit);
      t.is(link.latency_ms, sizes.latencyMs);
    }
    t.is(Object.keys(document.accounts).length, 8);
    const services = Object.entries(document.services).map(([id, service]) => {
      const endpoints = Object.values(service.endpoints);
      t.is(new Set(endpoints.map((e) => e.url)).size, endpoints.length);
      const [first] = endpoints;
      t.true(endpoints.every((e) => e.slots === first?.slots));
      return [id, endpoints.length, first?.slots, first?.connections];
    });
    t.deepEqual(services, sizes.services as unknown);
  });
}
