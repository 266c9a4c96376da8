/**
 * The home of an operation id that came without a home token: one seat, found
 * by rendezvous hashing over all seats, whoever holds them.
 *
 * Were it found over the live instances, two instances that hear different
 * ones would name different homes, and an operation would run at both.
 *
 * @module
 */
import type { SeatEntry } from "../membership/mod.ts";
import { hashText, mix } from "./places.ts";

/**
 * Finds the seat; undefined while no seat is known.
 *
 * @example
 * ```ts
 * const seat = homeSeat(directory.entries(), { account: "a1", id: "op-1" });
 * ```
 */
export function homeSeat(
  entries: readonly SeatEntry[],
  { account, id }: { account: string; id: string },
): SeatEntry | undefined {
  const operation = hashText(`${account} ${id}`);
  let best: SeatEntry | undefined;
  let bestScore = -1;
  for (const entry of entries) {
    const score = mix(
      operation ^ mix(hashText(`${entry.zone}/${entry.index}`)),
    );
    if (score > bestScore || (score === bestScore && before(entry, best))) {
      best = entry;
      bestScore = score;
    }
  }
  return best;
}

function before(entry: SeatEntry, other: SeatEntry | undefined): boolean {
  if (other === undefined) return true;
  if (entry.zone !== other.zone) return entry.zone < other.zone;
  return entry.index < other.index;
}
