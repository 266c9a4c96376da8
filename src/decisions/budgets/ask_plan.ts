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

/** The same groups with one peer before all others. */
export function startingWith(
  first: string | undefined,
  groups: readonly BudgetPeer[][],
): BudgetPeer[][] {
  const head = groups.flat().filter((p) => p.instance === first);
  const rest = groups.map((g) => g.filter((p) => p.instance !== first));
  return [head, ...rest].filter((group) => group.length > 0);
}

/** What each of `count` peers is asked for so that `want` comes together. */
export function askEach(want: number, count: number): number {
  return count <= 1 ? want : Math.min(want, want * ASK_FACTOR / count);
}

/**
 * What each of `count` peers is asked for so that `tokens` come together:
 * whole ones, of no more peers than it takes twice over. `turn` spreads the
 * questions of one asker over the peers.
 */
export function askTokens(
  tokens: number,
  peers: readonly BudgetPeer[],
  turn: number,
): { readonly peer: BudgetPeer; readonly tokens: number }[] {
  const count = Math.min(peers.length, Math.ceil(tokens) * SPREAD_TOKENS);
  const each = Math.ceil(tokens * ASK_FACTOR / count);
  return Array.from({ length: count }, (_, i) => {
    const peer = peers[(turn + i) % peers.length]!;
    return { peer, tokens: each };
  });
}

/** Peers asked for each missing token. */
const SPREAD_TOKENS = 2;
