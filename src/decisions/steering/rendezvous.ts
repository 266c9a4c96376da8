/**
 * Rendezvous hashing (Thaler and Ravishankar 1998): every member computes the
 * same owner of a key from the member list alone, and when a member leaves
 * only its own keys move.
 *
 * @module
 */

import { hash } from "../../core/mod.ts";

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
