/**
 * A hash of short texts that every instance works out alike.
 *
 * @module
 */

/**
 * FNV-1a with the finalizer of MurmurHash3, so that near names fall apart.
 * Synchronous, and without WebAssembly to compile at the start.
 *
 * @example
 * ```ts
 * hash("catalog-1"); // a whole number below 2^32
 * ```
 */
export function hash(text: string): number {
  let h = 0x811c9dc5;
  for (let i = 0; i < text.length; i++) {
    h = Math.imul(h ^ text.charCodeAt(i), 0x01000193);
  }
  h = Math.imul(h ^ (h >>> 16), 0x85ebca6b);
  h = Math.imul(h ^ (h >>> 13), 0xc2b2ae35);
  return (h ^ (h >>> 16)) >>> 0;
}
