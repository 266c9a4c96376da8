/**
 * Which site a client's address belongs to.
 *
 * It answers a steady stream of look-ups over a million blocks while the
 * document changes many thousand times a day. The address space is cut into
 * parts by its first bits; a change rebuilds only the parts it touches, a few
 * at a time. Rebuilding everything at each change would stop the process for
 * around a second, which callers would notice as a stall at every edit.
 *
 * @module
 */
import { blockSize, type Family, parseAddress } from "./cidr.ts";
import {
  byStart,
  lowerBound,
  type PackedBlocks,
  type PackedFamily,
  type SiteBlock,
} from "./packed_blocks.ts";
import { findSite, flatten, NO_SITE, type RangeTable } from "./range_table.ts";

/**
 * First bits that choose a part. 4,096 parts of the IPv4 space hold at most
 * 4,096 blocks of /24 each, which rebuild in well under a millisecond; more
 * parts would cost more memory in empty arrays than in blocks.
 */
const PART_BITS = 12;
const PARTS = 2 ** PART_BITS;

/** Sites of one section, its blocks packed against the section's own list. */
export interface SiteSection {
  /** Names of sites; a block's index points into it. */
  readonly names: readonly string[];
  readonly blocks: PackedBlocks;
}

/** A section's blocks, and the map's number for each of its sites. */
interface NumberedBlocks {
  readonly blocks: PackedBlocks;
  readonly numbers: Uint16Array;
}

/** A site's number within the map; stable while the map lives. */
type SiteNumber = number;

/**
 * Sites by client address.
 *
 * @example
 * ```ts
 * const map = new ClientMap();
 * map.replace("sites/north", section);
 * while (map.rebuild(64) > 0);
 * map.siteOf("203.0.113.7");
 * ```
 */
export class ClientMap {
  readonly #sections = new Map<string, NumberedBlocks>();
  readonly #siteNumbers = new Map<string, SiteNumber>();
  readonly #siteNames: string[] = [];
  readonly #tables: Record<Family, (RangeTable | undefined)[]> = {
    v4: new Array(PARTS),
    v6: new Array(PARTS),
  };
  readonly #stale: Record<Family, Set<number>> = {
    v4: new Set(),
    v6: new Set(),
  };

  /**
   * Takes over a section, new or changed; the parts in which it differs from
   * before are rebuilt by `rebuild`.
   */
  replace(name: string, section: SiteSection): void {
    const numbers = Uint16Array.from(
      section.names,
      (site) => this.#numberOf(site),
    );
    this.#swap(name, { blocks: section.blocks, numbers });
  }

  /** Drops a section. */
  remove(name: string): void {
    this.#swap(name, undefined);
  }

  /** Rebuilds up to `limit` stale parts and gives how many are left. */
  rebuild(limit: number): number {
    const sections = this.#inOrder();
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

  /** Parts that wait for a rebuild; look-ups there still give the old answer. */
  get stale(): number {
    return this.#stale.v4.size + this.#stale.v6.size;
  }

  /** The site of a client address; undefined where no block covers it. */
  siteOf(address: string): string | undefined {
    const found = parseAddress(address);
    return found && this.siteOfValue(found.family, found.value);
  }

  /** The same, for an address that was parsed before. */
  siteOfValue(family: Family, value: number): string | undefined {
    const table = this.#tables[family][partOf(family, value)];
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

  #swap(name: string, after: NumberedBlocks | undefined): void {
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

  #markStale(family: Family, { start, length }: SiteBlock): void {
    const end = partOf(family, start + blockSize(family, length) - 1);
    for (let part = partOf(family, start); part <= end; part++) {
      this.#stale[family].add(part);
    }
  }

  /** By name, so that every instance settles a block that stands twice alike. */
  #inOrder(): NumberedBlocks[] {
    return [...this.#sections].sort(([a], [b]) => a < b ? -1 : 1)
      .map(([, section]) => section);
  }
}

function buildTable(
  sections: readonly NumberedBlocks[],
  { family, part }: Pick<Collecting, "family" | "part">,
): RangeTable | undefined {
  const blocks: SiteBlock[] = [];
  for (const { blocks: packed, numbers } of sections) {
    collect(packed[family], { family, part, numbers, into: blocks });
  }
  if (blocks.length === 0) return undefined;
  return flatten(family, blocks.sort(byStart));
}

function partOf(family: Family, value: number): number {
  return Math.floor(value / blockSize(family, PART_BITS));
}

interface Collecting {
  readonly family: Family;
  readonly part: number;
  readonly numbers: Uint16Array;
  readonly into: SiteBlock[];
}

/** Adds the blocks that touch a part: those that begin in it, and wide ones around it. */
function collect(packed: PackedFamily, to: Collecting): void {
  const { family, part } = to;
  const from = part * blockSize(family, PART_BITS);
  const end = from + blockSize(family, PART_BITS);
  const first = lowerBound(packed.starts, from);
  const last = lowerBound(packed.starts, end);
  for (let i = first; i < last; i++) to.into.push(blockAt(packed, i, to));
  for (let length = 0; length < PART_BITS; length++) {
    addCovering(packed, { length, from, first, to });
  }
}

/** A wide block that begins before the part has its start at a known address. */
function addCovering(
  packed: PackedFamily,
  at: { length: number; from: number; first: number; to: Collecting },
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
  { family, numbers }: Pick<Collecting, "family" | "numbers">,
): SiteBlock {
  return {
    family,
    start: packed.starts[i] as number,
    length: packed.lengths[i] as number,
    site: numbers[packed.sites[i] as number] as number,
  };
}

interface Difference {
  readonly family: Family;
  readonly before: NumberedBlocks | undefined;
  readonly after: NumberedBlocks | undefined;
}

/**
 * Calls back for each block that is in one version alone or has another site.
 * Both versions are sorted alike, so one walk along them finds all.
 */
function forEachDifference(
  { family, before, after }: Difference,
  differs: (block: SiteBlock) => void,
): void {
  const old = cursor(family, before);
  const now = cursor(family, after);
  while (old.block || now.block) {
    const order = compare(old.block, now.block);
    if (order < 0) differs(old.block as SiteBlock);
    else if (order > 0) differs(now.block as SiteBlock);
    else if (old.block?.site !== now.block?.site) {
      differs(now.block as SiteBlock);
    }
    if (order <= 0) old.next();
    if (order >= 0) now.next();
  }
}

interface Cursor {
  block: SiteBlock | undefined;
  next(): void;
}

function cursor(family: Family, from: NumberedBlocks | undefined): Cursor {
  let i = 0;
  const packed = from?.blocks[family];
  const read = () =>
    packed && from && i < packed.starts.length
      ? blockAt(packed, i++, { family, numbers: from.numbers })
      : undefined;
  const c: Cursor = {
    block: read(),
    next: () => {
      c.block = read();
    },
  };
  return c;
}

/** Order of starts, then lengths; what is not there comes last. */
function compare(a: SiteBlock | undefined, b: SiteBlock | undefined): number {
  if (a === undefined) return 1;
  if (b === undefined) return -1;
  return byStart(a, b);
}
