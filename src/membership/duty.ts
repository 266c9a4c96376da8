/**
 * Which member of a zone carries out a duty that the zone needs done once.
 *
 * Members may see different lists for a moment and both do it, so a duty given
 * out this way must be harmless when done twice.
 *
 * @module
 */
import { sha256 } from "../document/mod.ts";

/**
 * Picks by rendezvous hashing: when a member goes, only its duties move.
 *
 * @example
 * ```ts
 * dutyHolder("watch", ["i1", "i2"]); // the same at every instance
 * ```
 */
export function dutyHolder(
  duty: string,
  members: readonly string[],
): string | undefined {
  return rankFor(duty, members)[0];
}

/** Members in the order in which they would take the duty. */
export function rankFor(duty: string, members: readonly string[]): string[] {
  return members
    .map((member) => ({ member, weight: sha256(`${duty} ${member}`) }))
    .sort((a, b) => a.weight < b.weight ? 1 : -1)
    .map((m) => m.member);
}
