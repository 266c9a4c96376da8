/**
 * `npm run bench -- lookup`: lookups by client address at rising numbers of
 * CIDR blocks, compared with a plain `Map` with one entry per prefix.
 *
 * @module
 */
import { performance } from "node:perf_hooks";
import { type Random, SeededRandom } from "../../src/core/mod.ts";
import {
  blockSize,
  ClientSiteMap,
  packBlocks,
  type SiteBlock,
  type SiteSection,
} from "../../src/decisions/clients/mod.ts";
import { memoryInUse, roundTo } from "./figures.ts";

const SITES = 3_900;
const SECTIONS = 26;
const SIZES = [150_000, 300_000, 600_000, 1_200_000];
const LOOKUPS = 1_000_000;
const REBUILD_STEP = 16;
const CHANGED_BLOCKS = 50;
const SEED = 7;
const V4_SPACE = 2 ** 32;

/** One row of the table. */
interface Row {
  readonly blocks: number;
  readonly lookups_per_s: number;
  readonly map_lookups_per_s: number;
  readonly mb: number;
  readonly map_mb: number;
  readonly build_ms: number;
  readonly change_ms: number;
  readonly longest_pause_ms: number;
}

/** Runs the benchmark and prints a table and a line of JSON. */
export function benchLookup(): void {
  const rows = SIZES.map(measure);
  console.table(rows);
  const last = rows.at(-1) as Row;
  console.log(JSON.stringify({
    bench: "lookup",
    sites: SITES,
    rows,
    speed_ratio: roundTo(last.lookups_per_s / last.map_lookups_per_s, 2),
    memory_ratio: roundTo(last.mb / last.map_mb, 2),
  }));
}

function measure(count: number): Row {
  const sections = makeSections(count, new SeededRandom(SEED));
  const before = memoryInUse();
  const map = new ClientSiteMap();
  for (const [name, s] of sections) map.replace(name, s);
  const buildMs = timed(() => map.rebuild(Infinity));
  const mb = (memoryInUse() - before + packedBytes(sections)) / 1e6;
  const speed = lookupsPerS((address) => map.siteOfValue("v4", address));
  const change = measureChange(map, sections);
  const plain = baselineMap(sections);
  return {
    blocks: count,
    lookups_per_s: speed,
    map_lookups_per_s: lookupsPerS(plain.find),
    mb: roundTo(mb, 2),
    map_mb: roundTo(plain.mb, 2),
    build_ms: roundTo(buildMs, 2),
    ...change,
  };
}

/** Moves some blocks to another site and rebuilds in steps, as instances do. */
function measureChange(map: ClientSiteMap, sections: Map<string, SiteSection>) {
  const [name, section] = [...sections][0] as [string, SiteSection];
  const sites = section.blocks.v4.sites.slice();
  for (let i = 0; i < CHANGED_BLOCKS; i++) {
    const at = Math.floor(i * sites.length / CHANGED_BLOCKS);
    sites[at] = ((sites[at] as number) + 1) % section.names.length;
  }
  const v4 = { ...section.blocks.v4, sites };
  const changed = { ...section, blocks: { ...section.blocks, v4 } };
  let longest = timed(() => map.replace(name, changed));
  let total = longest;
  while (map.stale > 0) {
    const ms = timed(() => map.rebuild(REBUILD_STEP));
    longest = Math.max(longest, ms);
    total += ms;
  }
  return {
    change_ms: roundTo(total, 2),
    longest_pause_ms: roundTo(longest, 2),
  };
}

/** The baseline: tries every prefix length, longest first. */
function baselineMap(sections: Map<string, SiteSection>) {
  const before = memoryInUse();
  const sites = new Map<string, string>();
  const lengths = new Set<number>();
  for (const section of sections.values()) {
    const { starts, lengths: own, sites: site } = section.blocks.v4;
    for (const [i, start] of starts.entries()) {
      lengths.add(own[i] as number);
      sites.set(`${start}/${own[i]}`, section.names[site[i] as number] ?? "");
    }
  }
  const order = [...lengths].sort((a, b) => b - a);
  const find = (address: number) => {
    for (const length of order) {
      const size = blockSize("v4", length);
      const start = Math.floor(address / size) * size;
      const site = sites.get(`${start}/${length}`);
      if (site !== undefined) return site;
    }
    return undefined;
  };
  return { find, mb: (memoryInUse() - before) / 1e6 };
}

/** Generates blocks from /16 to /24, mostly /24, as networks announce them. */
function makeSections(count: number, random: Random): Map<string, SiteSection> {
  const blocks: SiteBlock[][] = Array.from({ length: SECTIONS }, () => []);
  const perSection = SITES / SECTIONS;
  const seen = new Set<number>();
  for (let made = 0; made < count;) {
    const length = random.next() < 0.6 ? 24 : 16 + random.below(8);
    const size = blockSize("v4", length);
    const start = Math.floor(random.next() * V4_SPACE / size) * size;
    if (seen.has(start * 32 + length)) continue;
    seen.add(start * 32 + length);
    const site = random.below(perSection);
    blocks[made++ % SECTIONS]?.push({ family: "v4", start, length, site });
  }
  return new Map(blocks.map((own, i) => {
    const names = Array.from(
      { length: perSection },
      (_, n) => `site-${i}-${n}`,
    );
    return [`sites/${i}`, { names, blocks: packBlocks(own) }];
  }));
}

function packedBytes(sections: Map<string, SiteSection>): number {
  const arrays = [...sections.values()].flatMap(({ blocks }) =>
    [blocks.v4, blocks.v6].flatMap((f) => [f.starts, f.lengths, f.sites])
  );
  return arrays.reduce((n, array) => n + array.byteLength, 0);
}

function lookupsPerS(find: (address: number) => string | undefined): number {
  const random = new SeededRandom(SEED + 1);
  const addresses = Array.from(
    { length: LOOKUPS },
    () => Math.floor(random.next() * V4_SPACE),
  );
  let found = 0;
  const ms = timed(() => {
    for (const address of addresses) if (find(address) !== undefined) found++;
  });
  if (found === 0) throw new Error("no lookup found a site");
  return Math.round(LOOKUPS / ms * 1_000);
}

function timed(run: () => void): number {
  const from = performance.now();
  run();
  return performance.now() - from;
}
