/**
 * A hash of short strings that is the same on every instance.
 *
 * @module
 */

/**
 * FNV-1a with the MurmurHash3 finalizer, so that similar names get unrelated
 * hashes. Synchronous, and needs no WebAssembly compilation at startup.
 *
 * @example
 * ```ts
 * hash("catalog-1"); // an integer below 2^32
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

const HASH_RANGE = 0x1_0000_0000;

/**
 * The hash as a number in [0, 1).
 *
 * @example
 * ```ts
 * const offsetMs = hashFraction("catalog-1") * periodMs;
 * ```
 */
export function hashFraction(text: string): number {
  return hash(text) / HASH_RANGE;
}
