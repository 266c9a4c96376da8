import test from "ava";
import fc from "fast-check";
import { type Random, SeededRandom } from "../../core/mod.ts";
import { blockSize, type CidrBlock, FAMILY_BITS, parseBlock } from "./cidr.ts";
import { ClientSiteMap, type SiteSection } from "./client_site_map.ts";
import { packBlocks, type SiteBlock } from "./packed_blocks.ts";

const SEED = 20_261_202;

function section(sites: Record<string, string[]>): SiteSection {
  const names = Object.keys(sites);
  const blocks = names.flatMap((name, site) =>
    (sites[name] ?? []).map((text) => ({
      ...parseBlock(text) as CidrBlock,
      site,
    }))
  );
  return { names, blocks: packBlocks(blocks) };
}

function mapOf(sections: Record<string, SiteSection>): ClientSiteMap {
  const map = new ClientSiteMap();
  for (const [name, s] of Object.entries(sections)) map.replace(name, s);
  map.rebuild(Infinity);
  return map;
}

for (
  const text of [
    "203.0.113.0",
    "203.0.113.1/24",
    "203.0.113.0/33",
    "203.0.113/24",
    "2001:db8::/64",
    "2001:db8::1/32",
    "/24",
    "203.0.113.0/-1",
    "203.0.113.0/2 4",
  ]
) {
  test(`${text} is not a valid block`, (t) =>
    t.is(parseBlock(text), undefined));
}

test("the longest prefix wins, and the rest belongs to the wider block", (t) => {
  const map = mapOf({
    a: section({
      wide: ["10.0.0.0/8"],
      narrow: ["10.1.0.0/16", "10.1.2.0/24"],
    }),
    b: section({ inner: ["10.1.2.128/25"] }),
  });
  t.is(map.siteOf("10.200.0.1"), "wide");
  t.is(map.siteOf("10.1.255.255"), "narrow");
  t.is(map.siteOf("10.1.2.127"), "narrow");
  t.is(map.siteOf("10.1.2.128"), "inner");
  t.is(map.siteOf("10.1.3.0"), "narrow");
  t.is(map.siteOf("11.0.0.0"), undefined);
});

test("IPv6 and IPv4-mapped IPv6 addresses are found", (t) => {
  const map = mapOf({
    a: section({ north: ["2001:db8:1::/48"], south: ["192.0.2.0/24"] }),
  });
  t.is(map.siteOf("2001:db8:1:2:3::4"), "north");
  t.is(map.siteOf("2001:db8:2::"), undefined);
  t.is(map.siteOf("::ffff:192.0.2.9"), "south");
});

test("removing a section removes its blocks", (t) => {
  const map = mapOf({
    a: section({ wide: ["10.0.0.0/8"] }),
    b: section({ narrow: ["10.1.0.0/16"] }),
  });
  map.remove("b");
  map.rebuild(Infinity);
  t.is(map.siteOf("10.1.0.1"), "wide");
});

test("after any changes a map answers like one built from scratch", (t) => {
  // Only partitions with differences are rebuilt. If a difference were missed,
  // the clients of that block would be sent to their old site indefinitely.
  const random = new SeededRandom(SEED);
  const changed = new ClientSiteMap();
  const current: Record<string, SiteSection> = {};
  for (let step = 0; step < 200; step++) {
    const name = `part-${random.below(3)}`;
    current[name] = randomSection(random);
    changed.replace(name, current[name]);
    changed.rebuild(random.below(4));
  }
  changed.rebuild(Infinity);
  const fresh = mapOf(current);
  for (let i = 0; i < 2_000; i++) {
    const address = random.below(16) * 2 ** 24 + random.below(2 ** 24);
    t.is(changed.siteOfValue("v4", address), fresh.siteOfValue("v4", address));
  }
});

/** Few distinct blocks, so that the same ones come back with another site. */
function randomSection(random: Random): SiteSection {
  const sites: Record<string, string[]> = {};
  const seen = new Set<string>();
  for (let i = 0; i < 20; i++) {
    const wide = random.next() < 0.5;
    const text = wide
      ? `${random.below(16)}.0.0.0/8`
      : `${random.below(16)}.${random.below(4) * 64}.0.0/10`;
    if (seen.has(text)) continue;
    seen.add(text);
    const site = `site-${random.below(5)}`;
    sites[site] = [...(sites[site] ?? []), text];
  }
  return section(sites);
}

test("any set of blocks gives the same sites as a linear search", (t) => {
  const block = fc.record({
    family: fc.constantFrom("v4" as const, "v6" as const),
    length: fc.integer({ min: 0, max: 32 }),
    bits: fc.double({ min: 0, max: 1, maxExcluded: true, noNaN: true }),
    site: fc.integer({ min: 0, max: 3 }),
  }).map(({ family, length, bits, site }): SiteBlock => {
    const size = blockSize(family, length);
    const start = Math.floor(bits * 2 ** FAMILY_BITS[family] / size) * size;
    return { family, length, start, site };
  });
  const names = ["s0", "s1", "s2", "s3"];
  const property = fc.property(fc.array(block, { maxLength: 12 }), (blocks) => {
    const unique = [
      ...new Map(blocks.map((b) => [`${b.family} ${b.start}/${b.length}`, b]))
        .values(),
    ];
    const map = mapOf({ a: { names, blocks: packBlocks(unique) } });
    for (const { family, start, length } of unique) {
      const last = start + blockSize(family, length) - 1;
      for (const address of [start, last, start - 1, last + 1]) {
        if (address < 0 || address >= 2 ** FAMILY_BITS[family]) continue;
        const site = longestMatch(unique, family, address)?.site;
        const expected = site === undefined ? undefined : names[site];
        if (map.siteOfValue(family, address) !== expected) return false;
      }
    }
    return true;
  });
  t.notThrows(() => fc.assert(property, { seed: SEED, numRuns: 100 }));
});

function longestMatch(
  blocks: readonly SiteBlock[],
  family: string,
  address: number,
): SiteBlock | undefined {
  return blocks.filter((b) =>
    b.family === family && address >= b.start &&
    address < b.start + blockSize(b.family, b.length)
  ).sort((a, b) => b.length - a.length)[0];
}
