import test from "ava";
import { parseDocument, type RawSections } from "../document/mod.ts";
import { ClientSites } from "./client_sites.ts";

const REGIONS = {
  regions: { north: { zones: { "north-a": {}, "north-b": {} } } },
};

function documentOf(sections: RawSections) {
  return parseDocument({ regions: REGIONS, ...sections });
}

function sites(blocks: Record<string, string[]>, zones = ["north-a"]) {
  const entries = Object.entries(blocks).map((
    [id, b],
  ) => [id, { zones, blocks: b }]);
  return { sites: Object.fromEntries(entries) };
}

test("a client address maps to the zones of its site, best first", (t) => {
  const held = new ClientSites();
  const riga = sites({ riga: ["203.0.113.0/24"] }, ["north-b", "north-a"]);
  held.adopt(documentOf({ "sites/baltic": riga })._unsafeUnwrap());
  held.rebuildAll();
  t.deepEqual(held.zonesFor("203.0.113.9"), ["north-b", "north-a"]);
  t.deepEqual(held.zonesFor("198.51.100.1"), []);
  t.deepEqual(held.zonesFor("not an address"), []);
});

test("added and removed sections take effect over ticks", (t) => {
  const held = new ClientSites();
  const first = { "sites/a": sites({ riga: ["203.0.113.0/24"] }) };
  held.adopt(documentOf(first)._unsafeUnwrap());
  held.run();
  t.deepEqual(held.zonesFor("203.0.113.9"), ["north-a"]);
  held.adopt(documentOf({})._unsafeUnwrap());
  held.run();
  t.deepEqual(held.zonesFor("203.0.113.9"), []);
});

const REFUSED: [string, RawSections, string][] = [
  [
    "a zone that no section defines",
    { sites: sites({ riga: [] }, ["south-a"]) },
    "sites.riga.zones.0",
  ],
  [
    "a block with bits set beyond its prefix length",
    { sites: sites({ riga: ["203.0.113.7/24"] }) },
    "sites.sites.riga.blocks.0",
  ],
  [
    "a site defined by two sections",
    { "sites/a": sites({ riga: [] }), "sites/b": sites({ riga: [] }) },
    "sites/b.sites.riga",
  ],
];

for (const [name, sections, path] of REFUSED) {
  test(`refused: ${name}`, (t) => {
    const refused = documentOf(sections)._unsafeUnwrapErr();
    t.is(refused.path.join("."), path);
  });
}
