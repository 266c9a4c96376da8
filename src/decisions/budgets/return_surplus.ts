/**
 * Returns borrowed shares that are no longer needed.
 *
 * @module
 */
import { EPSILON } from "./invariant.ts";
import { type RateState, surplusFraction } from "./rate_policy.ts";
import type { RateRow } from "./rate_row.ts";

/**
 * Returns borrowed tokens that no request waits for any more, and surplus rate.
 * Loans from other zones go first: lenders in the same zone stay reachable in
 * a network partition between zones.
 */
export function returnSurplus(
  { share, waiting }: RateRow,
  state: RateState,
  zonePeers: ReadonlySet<string>,
): void {
  const { now } = state;
  const borrowed = share.book.borrowedLoans(now);
  const tokens = waiting === 0 ? borrowed.filter((l) => l.tokensOnly) : [];
  for (const loan of tokens) share.returnBorrowed(loan, loan.amount, now);
  let surplus = surplusFraction(share, state);
  const loans = borrowed.filter((l) => !l.tokensOnly).sort((a, b) =>
    Number(zonePeers.has(a.lender)) - Number(zonePeers.has(b.lender))
  );
  for (const loan of loans) {
    if (surplus <= EPSILON) return;
    const by = Math.min(loan.amount, surplus);
    share.returnBorrowed(loan, by, now);
    surplus -= by;
  }
}
