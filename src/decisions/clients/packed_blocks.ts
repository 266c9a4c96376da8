/**
 * Stores blocks in a few typed arrays. 1.2 million blocks as objects or strings
 * would take ten times the memory that the control plane may use on a node.
 *
 * @module
 */
import { type AddressFamily, type CidrBlock, FAMILY_BITS } from "./cidr.ts";

/** Blocks of one family, sorted by start, then prefix length. */
export interface PackedFamily {
  readonly starts: Uint32Array | Float64Array;
  readonly lengths: Uint8Array;
  /** Indexes into the owner's list of sites. */
  readonly sites: Uint16Array;
}

export type PackedBlocks = Readonly<Record<AddressFamily, PackedFamily>>;

/** A block and the site of its clients. */
export interface SiteBlock extends CidrBlock {
  readonly site: number;
}

/** Packs blocks, which may be in any order. */
export function packBlocks(blocks: readonly SiteBlock[]): PackedBlocks {
  return { v4: packFamily(blocks, "v4"), v6: packFamily(blocks, "v6") };
}

function packFamily(
  blocks: readonly SiteBlock[],
  family: AddressFamily,
): PackedFamily {
  const own = blocks.filter((b) => b.family === family)
    .sort(byStart);
  return {
    starts: startArray(family, own.map((b) => b.start)),
    lengths: Uint8Array.from(own, (b) => b.length),
    sites: Uint16Array.from(own, (b) => b.site),
  };
}

/** The order of packed blocks: by start, then prefix length. */
export function byStart(a: CidrBlock, b: CidrBlock): number {
  return a.start - b.start || a.length - b.length;
}

/** Stores a family's addresses in the smallest array type that is exact. */
export function startArray(
  family: AddressFamily,
  values: readonly number[],
): Uint32Array | Float64Array {
  return FAMILY_BITS[family] <= 32
    ? Uint32Array.from(values)
    : Float64Array.from(values);
}

/** Index of the first element that is not less than `value`. */
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
