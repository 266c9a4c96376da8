/**
 * Chooses the instance that pools the shares of an account with a small burst.
 *
 * Each instance computes it from its view of the membership. While views differ
 * there may be two pool owners; some requests then take a second round of
 * asking, but no share is counted twice.
 *
 * @module
 */
import { ownerOf } from "../steering/rendezvous.ts";
import { groupByProximity, withPeerFirst } from "./ask_plan.ts";
import type { BudgetPeer } from "./budget_table.ts";
import type { RateRow } from "./rate_row.ts";

type Pooled = Pick<RateRow, "account" | "pool" | "poolOwner">;

/** The pool owner by this instance's view; undefined if not pooled. */
export function poolOwnerOf(
  { account, pool }: Pooled,
  self: BudgetPeer,
  peers: readonly BudgetPeer[],
): string | undefined {
  if (pool === "none") return undefined;
  const members = [self, ...peers]
    .filter((p) => pool === "fleet" || p.zone === self.zone);
  return ownerOf(account, members.map((p) => p.instance));
}

/** Peers that may have tokens to lend, in groups, nearest first. */
export function tokenLenders(
  row: Pooled,
  self: BudgetPeer,
  peers: readonly BudgetPeer[],
): BudgetPeer[][] {
  const groups = withPeerFirst(row.poolOwner, groupByProximity(self, peers));
  if (row.pool !== "zone") return groups;
  const zones = new Set(peers.map((p) => p.zone));
  const owners = new Set([...zones].map((zone) => {
    const members = [...peers, self].filter((p) => p.zone === zone);
    return ownerOf(row.account, members.map((p) => p.instance));
  }));
  return groups.map((group) => group.filter((p) => owners.has(p.instance)))
    .filter((group) => group.length > 0);
}
