import test from "ava";
import { parseDocument, SectionCache } from "./document.ts";

const REGIONS = { regions: { north: { zones: { "north-a": {} } } } };
const BLOCKS = ["203.0.113.0/24"];

function sites(blocks: string[]) {
  return { sites: { riga: { zones: ["north-a"], blocks } } };
}

test("an unchanged section is the same object in the next document", (t) => {
  const { parse } = new SectionCache();
  const raw = { regions: REGIONS, sites: sites(BLOCKS) };
  const before = parseDocument(raw, parse)._unsafeUnwrap();
  const drains = { drains: [] };
  const after = parseDocument({ ...raw, drains }, parse)._unsafeUnwrap();
  t.is(after.siteBlocks["sites"], before.siteBlocks["sites"]);
});

test("a changed or renamed section is parsed again", (t) => {
  const { parse } = new SectionCache();
  const value = sites(BLOCKS);
  const first = parseDocument({ regions: REGIONS, "sites/a": value }, parse);
  const moved = parseDocument({ regions: REGIONS, "sites/b": value }, parse);
  t.deepEqual(Object.keys(first._unsafeUnwrap().siteBlocks), ["sites/a"]);
  t.deepEqual(Object.keys(moved._unsafeUnwrap().siteBlocks), ["sites/b"]);
  const broken = parseDocument(
    { regions: REGIONS, "sites/b": sites(["x"]) },
    parse,
  );
  t.is(broken._unsafeUnwrapErr().code, "bad_section");
});
