/**
 * Which instance keeps the parts of an account with a small burst together.
 *
 * Every member works it out from the members alone. Two that see different
 * members may take two keepers for a while; then tokens lie in two places and
 * some requests ask once more, but no part is anybody's twice.
 *
 * @module
 */
import { ownerOf } from "../steering/rendezvous.ts";
import { byNearness, startingWith } from "./ask_plan.ts";
import type { BudgetPeer } from "./budget_table.ts";
import type { RateRow } from "./rate_row.ts";

type Pooled = Pick<RateRow, "account" | "pool" | "keeper">;

/** The keeper as this instance sees it; undefined where nothing is pooled. */
export function keeperOf(
  { account, pool }: Pooled,
  self: BudgetPeer,
  peers: readonly BudgetPeer[],
): string | undefined {
  if (pool === "none") return undefined;
  const members = [self, ...peers]
    .filter((p) => pool === "fleet" || p.zone === self.zone);
  return ownerOf(account, members.map((p) => p.instance));
}

/** Whom to ask for tokens, nearest first, where tokens may be. */
export function tokenLenders(
  row: Pooled,
  self: BudgetPeer,
  peers: readonly BudgetPeer[],
): BudgetPeer[][] {
  const groups = startingWith(row.keeper, byNearness(self, peers));
  if (row.pool !== "zone") return groups;
  const zones = new Set(peers.map((p) => p.zone));
  const keepers = new Set([...zones].map((zone) => {
    const members = [...peers, self].filter((p) => p.zone === zone);
    return ownerOf(row.account, members.map((p) => p.instance));
  }));
  return groups.map((group) => group.filter((p) => keepers.has(p.instance)))
    .filter((group) => group.length > 0);
}
