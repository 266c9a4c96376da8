/**
 * Longest-prefix match by one binary search: nested blocks are flattened into
 * ranges that do not overlap.
 *
 * @module
 */
import { type AddressFamily, blockSize, FAMILY_BITS } from "./cidr.ts";
import { lowerBound, type SiteBlock, startArray } from "./packed_blocks.ts";

/** The site of addresses that no block contains. */
export const NO_SITE = 0xffff;

/** Ranges of one partition of the address space. */
export interface RangeTable {
  readonly starts: Uint32Array | Float64Array;
  /** Site of the range that starts there, or {@link NO_SITE}. */
  readonly sites: Uint16Array;
}

/** Finds the site of an address, or {@link NO_SITE}. */
export function findSite(table: RangeTable, address: number): number {
  const after = lowerBound(table.starts, address + 1);
  return after === 0 ? NO_SITE : table.sites[after - 1] as number;
}

/** Flattens blocks that are sorted by start, then prefix length. */
export function flatten(
  family: AddressFamily,
  blocks: readonly SiteBlock[],
): RangeTable {
  const ranges = new RangeBuilder(2 ** FAMILY_BITS[family]);
  const enclosing: { end: number; site: number }[] = [];
  for (const block of blocks) {
    closeUntil(enclosing, block.start, ranges);
    ranges.startRange(block.start, block.site);
    const end = block.start + blockSize(family, block.length);
    enclosing.push({ end, site: block.site });
  }
  closeUntil(enclosing, Infinity, ranges);
  return {
    starts: startArray(family, ranges.starts),
    sites: Uint16Array.from(ranges.sites),
  };
}

/** Closes blocks that end by `start` and resumes the enclosing block. */
function closeUntil(
  enclosing: { end: number; site: number }[],
  start: number,
  ranges: RangeBuilder,
): void {
  for (
    let top = enclosing.at(-1);
    top && top.end <= start;
    top = enclosing.at(-1)
  ) {
    enclosing.pop();
    ranges.startRange(top.end, enclosing.at(-1)?.site ?? NO_SITE);
  }
}

class RangeBuilder {
  readonly starts: number[] = [];
  readonly sites: number[] = [];
  readonly #end: number;

  constructor(end: number) {
    this.#end = end;
  }

  /** Starts a range; it replaces the last one if that has the same start. */
  startRange(start: number, site: number): void {
    // The address after the last one would wrap to 0 in the typed array.
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
