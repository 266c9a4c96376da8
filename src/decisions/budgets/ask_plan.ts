/**
 * Selects the peers to borrow from, and how much to ask of each.
 *
 * Peers in the same zone are asked first: they answer soonest and stay
 * reachable in a network partition between zones. Asking every peer for the
 * whole amount would borrow many times what is needed, and the lenders would
 * lack it until it is returned.
 *
 * @module
 */
import type { BudgetPeer } from "./budget_table.ts";

/** Amount asked for per amount missing, since some peers have none to spare. */
const OVERASK_FACTOR = 1.5;

/** Groups peers into this zone's and all others; empty groups are omitted. */
export function groupByProximity(
  self: BudgetPeer,
  peers: readonly BudgetPeer[],
): BudgetPeer[][] {
  const near = peers.filter((p) => p.zone === self.zone);
  const far = peers.filter((p) => p.zone !== self.zone);
  return [near, far].filter((group) => group.length > 0);
}

/** The same groups, with one peer moved to a group of its own at the front. */
export function withPeerFirst(
  first: string | undefined,
  groups: readonly BudgetPeer[][],
): BudgetPeer[][] {
  const head = groups.flat().filter((p) => p.instance === first);
  const rest = groups.map((g) => g.filter((p) => p.instance !== first));
  return [head, ...rest].filter((group) => group.length > 0);
}

/** The amount to ask of each of `count` peers to obtain `want` in total. */
export function amountPerPeer(want: number, count: number): number {
  return count <= 1 ? want : Math.min(want, want * OVERASK_FACTOR / count);
}

/**
 * The whole tokens to ask of each peer to obtain `tokens` in total, from at
 * most twice as many peers as tokens. `turn` rotates the peers between rounds.
 */
export function planTokenAsks(
  tokens: number,
  peers: readonly BudgetPeer[],
  turn: number,
): { readonly peer: BudgetPeer; readonly tokens: number }[] {
  const count = Math.min(peers.length, Math.ceil(tokens) * PEERS_PER_TOKEN);
  const each = Math.ceil(tokens * OVERASK_FACTOR / count);
  return Array.from({ length: count }, (_, i) => {
    const peer = peers[(turn + i) % peers.length]!;
    return { peer, tokens: each };
  });
}

/** Peers asked per missing token. */
const PEERS_PER_TOKEN = 2;
