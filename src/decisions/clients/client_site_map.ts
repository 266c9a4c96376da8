/**
 * Maps client addresses to sites.
 *
 * Load: a steady stream of look-ups over a million blocks, while the document
 * changes many thousand times a day. The address space is partitioned by its
 * first bits, and a change rebuilds only the partitions it affects, a few at a
 * time. A full rebuild would block the process for about 1 s at every edit.
 *
 * @module
 */
import { type AddressFamily, blockSize, parseAddress } from "./cidr.ts";
import {
  byStart,
  lowerBound,
  type PackedBlocks,
  type PackedFamily,
  type SiteBlock,
} from "./packed_blocks.ts";
import { findSite, flatten, NO_SITE, type RangeTable } from "./range_table.ts";

/**
 * Leading bits that select a partition. Each of 4,096 partitions of the IPv4
 * space has at most 4,096 /24 blocks, which are rebuilt in well under 1 ms; with
 * more partitions, empty arrays would take more memory than blocks.
 */
const PARTITION_BITS = 12;
const PARTITIONS = 2 ** PARTITION_BITS;

/** Sites and blocks of one section of the document. */
export interface SiteSection {
  /** Site names, indexed by the `sites` of the blocks. */
  readonly names: readonly string[];
  readonly blocks: PackedBlocks;
}

/** A section's blocks, and the map's number for each of its sites. */
interface NumberedBlocks {
  readonly blocks: PackedBlocks;
  readonly siteNumbers: Uint16Array;
}

/** A site's index in the map; it never changes. */
type SiteNumber = number;

/**
 * Longest-prefix match from client addresses to sites.
 *
 * @example
 * ```ts
 * const map = new ClientSiteMap();
 * map.replace("sites/north", section);
 * while (map.rebuild(64) > 0);
 * map.siteOf("203.0.113.7");
 * ```
 */
export class ClientSiteMap {
  readonly #sections = new Map<string, NumberedBlocks>();
  readonly #siteNumbers = new Map<string, SiteNumber>();
  readonly #siteNames: string[] = [];
  readonly #tables: Record<AddressFamily, (RangeTable | undefined)[]> = {
    v4: new Array(PARTITIONS),
    v6: new Array(PARTITIONS),
  };
  readonly #stale: Record<AddressFamily, Set<number>> = {
    v4: new Set(),
    v6: new Set(),
  };

  /**
   * Adds or replaces a section. Partitions in which it differs from the previous
   * version become stale until `rebuild`.
   */
  replace(name: string, section: SiteSection): void {
    const siteNumbers = Uint16Array.from(
      section.names,
      (site) => this.#numberOf(site),
    );
    this.#replaceSection(name, { blocks: section.blocks, siteNumbers });
  }

  remove(name: string): void {
    this.#replaceSection(name, undefined);
  }

  /** Rebuilds up to `limit` stale partitions and returns how many are left. */
  rebuild(limit: number): number {
    const sections = this.#sortedSections();
    let done = 0;
    for (const family of ["v4", "v6"] as const) {
      for (const part of this.#stale[family]) {
        if (done++ >= limit) return this.stale;
        this.#stale[family].delete(part);
        this.#tables[family][part] = buildTable(sections, { family, part });
      }
    }
    return this.stale;
  }

  /** Number of stale partitions; look-ups there still give the old answer. */
  get stale(): number {
    return this.#stale.v4.size + this.#stale.v6.size;
  }

  /** The site of a client address; undefined if no block contains it. */
  siteOf(address: string): string | undefined {
    const found = parseAddress(address);
    return found && this.siteOfValue(found.family, found.value);
  }

  /** The same for a parsed address. */
  siteOfValue(family: AddressFamily, value: number): string | undefined {
    const table = this.#tables[family][partitionOf(family, value)];
    if (table === undefined) return undefined;
    const site = findSite(table, value);
    return site === NO_SITE ? undefined : this.#siteNames[site];
  }

  #numberOf(site: string): SiteNumber {
    const known = this.#siteNumbers.get(site);
    if (known !== undefined) return known;
    this.#siteNumbers.set(site, this.#siteNames.length);
    return this.#siteNames.push(site) - 1;
  }

  #replaceSection(name: string, after: NumberedBlocks | undefined): void {
    const before = this.#sections.get(name);
    if (after) this.#sections.set(name, after);
    else this.#sections.delete(name);
    for (const family of ["v4", "v6"] as const) {
      forEachDifference(
        { family, before, after },
        (block) => this.#markStale(family, block),
      );
    }
  }

  #markStale(family: AddressFamily, { start, length }: SiteBlock): void {
    const end = partitionOf(family, start + blockSize(family, length) - 1);
    for (let part = partitionOf(family, start); part <= end; part++) {
      this.#stale[family].add(part);
    }
  }

  /** Sorted by name, so that all instances resolve duplicate blocks alike. */
  #sortedSections(): NumberedBlocks[] {
    return [...this.#sections].sort(([a], [b]) => a < b ? -1 : 1)
      .map(([, section]) => section);
  }
}

function buildTable(
  sections: readonly NumberedBlocks[],
  { family, part }: Pick<CollectTarget, "family" | "part">,
): RangeTable | undefined {
  const blocks: SiteBlock[] = [];
  for (const { blocks: packed, siteNumbers } of sections) {
    collect(packed[family], { family, part, siteNumbers, into: blocks });
  }
  if (blocks.length === 0) return undefined;
  return flatten(family, blocks.sort(byStart));
}

function partitionOf(family: AddressFamily, value: number): number {
  return Math.floor(value / blockSize(family, PARTITION_BITS));
}

interface CollectTarget {
  readonly family: AddressFamily;
  readonly part: number;
  readonly siteNumbers: Uint16Array;
  readonly into: SiteBlock[];
}

/** Adds the blocks that overlap a partition. */
function collect(packed: PackedFamily, to: CollectTarget): void {
  const { family, part } = to;
  const from = part * blockSize(family, PARTITION_BITS);
  const end = from + blockSize(family, PARTITION_BITS);
  const first = lowerBound(packed.starts, from);
  const last = lowerBound(packed.starts, end);
  for (let i = first; i < last; i++) to.into.push(blockAt(packed, i, to));
  for (let length = 0; length < PARTITION_BITS; length++) {
    addCovering(packed, { length, from, first, to });
  }
}

/** Adds blocks of one length that contain the partition and start before it. */
function addCovering(
  packed: PackedFamily,
  at: { length: number; from: number; first: number; to: CollectTarget },
): void {
  const size = blockSize(at.to.family, at.length);
  const start = Math.floor(at.from / size) * size;
  if (start === at.from) return;
  for (let i = lowerBound(packed.starts, start); i < at.first; i++) {
    if (packed.starts[i] !== start) return;
    if (packed.lengths[i] === at.length) {
      at.to.into.push(blockAt(packed, i, at.to));
    }
  }
}

function blockAt(
  packed: PackedFamily,
  i: number,
  { family, siteNumbers }: Pick<CollectTarget, "family" | "siteNumbers">,
): SiteBlock {
  return {
    family,
    start: packed.starts[i] as number,
    length: packed.lengths[i] as number,
    site: siteNumbers[packed.sites[i] as number] as number,
  };
}

interface Difference {
  readonly family: AddressFamily;
  readonly before: NumberedBlocks | undefined;
  readonly after: NumberedBlocks | undefined;
}

/**
 * Calls `differs` for each block that is in only one version or has another
 * site. Both versions have the same order, so one merge pass finds them all.
 */
function forEachDifference(
  { family, before, after }: Difference,
  differs: (block: SiteBlock) => void,
): void {
  const oldCursor = cursor(family, before);
  const newCursor = cursor(family, after);
  while (oldCursor.block || newCursor.block) {
    const order = compare(oldCursor.block, newCursor.block);
    if (order < 0) differs(oldCursor.block as SiteBlock);
    else if (order > 0) differs(newCursor.block as SiteBlock);
    else if (oldCursor.block?.site !== newCursor.block?.site) {
      differs(newCursor.block as SiteBlock);
    }
    if (order <= 0) oldCursor.next();
    if (order >= 0) newCursor.next();
  }
}

interface Cursor {
  block: SiteBlock | undefined;
  next(): void;
}

function cursor(
  family: AddressFamily,
  from: NumberedBlocks | undefined,
): Cursor {
  let i = 0;
  const packed = from?.blocks[family];
  const read = () =>
    packed && from && i < packed.starts.length
      ? blockAt(packed, i++, { family, siteNumbers: from.siteNumbers })
      : undefined;
  const c: Cursor = {
    block: read(),
    next: () => {
      c.block = read();
    },
  };
  return c;
}

/** Orders by start, then prefix length; undefined comes last. */
function compare(a: SiteBlock | undefined, b: SiteBlock | undefined): number {
  if (a === undefined) return 1;
  if (b === undefined) return -1;
  return byStart(a, b);
}
