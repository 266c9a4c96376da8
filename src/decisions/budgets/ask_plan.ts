/**
 * Whom to ask for a missing part.
 *
 * Zone-mates are asked first: they answer soonest and stay within reach in a
 * cut. Asking everybody for everything would bring many times what is needed,
 * and other instances would be short of it until it went back.
 *
 * @module
 */
import type { BudgetPeer } from "./budget_table.ts";

/** Asked for over what is missing, since some peers have nothing to spare. */
const ASK_FACTOR = 1.5;

/** Peers by nearness: the own zone, then everybody else; empty groups fall out. */
export function byNearness(
  self: BudgetPeer,
  peers: readonly BudgetPeer[],
): BudgetPeer[][] {
  const near = peers.filter((p) => p.zone === self.zone);
  const far = peers.filter((p) => p.zone !== self.zone);
  return [near, far].filter((group) => group.length > 0);
}

/** What each of `count` peers is asked for so that `want` comes together. */
export function askEach(want: number, count: number): number {
  return count <= 1 ? want : Math.min(want, want * ASK_FACTOR / count);
}
