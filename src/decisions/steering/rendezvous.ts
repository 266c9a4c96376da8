/**
 * Rendezvous hashing (Thaler and Ravishankar 1998): every member works out
 * the same owner of a key from the members alone, and when one goes only its
 * own keys move.
 *
 * @module
 */

/**
 * The member with the highest hash for `key`; undefined if there is none.
 *
 * @example
 * ```ts
 * ownerOf("catalog-1", ["i1", "i2"]); // the same on every instance
 * ```
 */
export function ownerOf(
  key: string,
  members: readonly string[],
): string | undefined {
  let owner: string | undefined;
  let highest = -1;
  for (const member of members) {
    const score = hash(`${member} ${key}`);
    if (score < highest) continue;
    if (score === highest && owner !== undefined && owner < member) continue;
    highest = score;
    owner = member;
  }
  return owner;
}

/** FNV-1a with the finalizer of MurmurHash3, so that near names fall apart. */
export function hash(text: string): number {
  let h = 0x811c9dc5;
  for (let i = 0; i < text.length; i++) {
    h = Math.imul(h ^ text.charCodeAt(i), 0x01000193);
  }
  h = Math.imul(h ^ (h >>> 16), 0x85ebca6b);
  h = Math.imul(h ^ (h >>> 13), 0xc2b2ae35);
  return (h ^ (h >>> 16)) >>> 0;
}
