/**
 * Many blocks in a few typed arrays. At 1.2 million blocks, objects or strings
 * would take ten times the memory that control may use on a node.
 *
 * @module
 */
import { type Block, type Family, FAMILY_BITS } from "./cidr.ts";

/** Blocks of one family, by start, the shorter prefix first where starts meet. */
export interface PackedFamily {
  readonly starts: Uint32Array | Float64Array;
  readonly lengths: Uint8Array;
  /** Index into the owner's list of sites. */
  readonly sites: Uint16Array;
}

/** Blocks of both families. */
export type PackedBlocks = Readonly<Record<Family, PackedFamily>>;

/** A block and the site its clients are sent to. */
export interface SiteBlock extends Block {
  readonly site: number;
}

/** Packs blocks; which order they come in does not matter. */
export function packBlocks(blocks: readonly SiteBlock[]): PackedBlocks {
  return { v4: packFamily(blocks, "v4"), v6: packFamily(blocks, "v6") };
}

function packFamily(
  blocks: readonly SiteBlock[],
  family: Family,
): PackedFamily {
  const own = blocks.filter((b) => b.family === family)
    .sort(byStart);
  return {
    starts: startArray(family, own.map((b) => b.start)),
    lengths: Uint8Array.from(own, (b) => b.length),
    sites: Uint16Array.from(own, (b) => b.site),
  };
}

/** The order of packed blocks: by start, the wider one first. */
export function byStart(a: Block, b: Block): number {
  return a.start - b.start || a.length - b.length;
}

/** Numbers of a family in the smallest array that holds them exactly. */
export function startArray(
  family: Family,
  values: readonly number[],
): Uint32Array | Float64Array {
  return FAMILY_BITS[family] <= 32
    ? Uint32Array.from(values)
    : Float64Array.from(values);
}

/** The index of the first element not below `value`. */
export function lowerBound(
  sorted: Uint32Array | Float64Array,
  value: number,
): number {
  let low = 0;
  let high = sorted.length;
  while (low < high) {
    const middle = (low + high) >>> 1;
    if ((sorted[middle] as number) < value) low = middle + 1;
    else high = middle;
  }
  return low;
}
