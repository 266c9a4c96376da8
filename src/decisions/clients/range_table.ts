/**
 * The longest matching block of an address, found by one binary search: nested
 * blocks are flattened into ranges that do not overlap.
 *
 * @module
 */
import { blockSize, type Family, FAMILY_BITS } from "./cidr.ts";
import { lowerBound, type SiteBlock, startArray } from "./packed_blocks.ts";

/** What no block covers. */
export const NO_SITE = 0xffff;

/** Ranges of one part of the address space. */
export interface RangeTable {
  readonly starts: Uint32Array | Float64Array;
  /** Site of the range that begins there, or {@link NO_SITE}. */
  readonly sites: Uint16Array;
}

/** The site of an address, or {@link NO_SITE}. */
export function findSite(table: RangeTable, address: number): number {
  const after = lowerBound(table.starts, address + 1);
  return after === 0 ? NO_SITE : table.sites[after - 1] as number;
}

/** Flattens blocks that are sorted by start and, where starts meet, by length. */
export function flatten(
  family: Family,
  blocks: readonly SiteBlock[],
): RangeTable {
  const ranges = new Ranges(2 ** FAMILY_BITS[family]);
  const open: { end: number; site: number }[] = [];
  for (const block of blocks) {
    closeBefore(open, block.start, ranges);
    ranges.begin(block.start, block.site);
    const end = block.start + blockSize(family, block.length);
    open.push({ end, site: block.site });
  }
  closeBefore(open, Infinity, ranges);
  return {
    starts: startArray(family, ranges.starts),
    sites: Uint16Array.from(ranges.sites),
  };
}

/** Ends the blocks that are over by `start`; the one around them goes on. */
function closeBefore(
  open: { end: number; site: number }[],
  start: number,
  ranges: Ranges,
): void {
  for (let top = open.at(-1); top && top.end <= start; top = open.at(-1)) {
    open.pop();
    ranges.begin(top.end, open.at(-1)?.site ?? NO_SITE);
  }
}

class Ranges {
  readonly starts: number[] = [];
  readonly sites: number[] = [];
  readonly #end: number;

  constructor(end: number) {
    this.#end = end;
  }

  /** A range that begins where the last one did replaces it. */
  begin(start: number, site: number): void {
    // The address after the last one would wrap to 0 in the packed array.
    if (start >= this.#end) return;
    if (this.starts.at(-1) === start) {
      this.starts.pop();
      this.sites.pop();
    }
    if (this.sites.at(-1) === site) return;
    this.starts.push(start);
    this.sites.push(site);
  }
}
