/**
 * Giving borrowed parts back that are no longer needed.
 *
 * @module
 */
import { ROUNDING } from "./invariant.ts";
import { type RateState, surplusOf } from "./rate_policy.ts";
import type { RateRow } from "./rate_row.ts";

/**
 * Gives back tokens that no request waits for any more, and the rate that is
 * not needed. The farthest goes first: a zone-mate stays in reach in a cut.
 */
export function giveBackSurplus(
  { share, waiting }: RateRow,
  state: RateState,
  zoneMates: ReadonlySet<string>,
): void {
  const { now } = state;
  const borrowed = share.book.borrowedLoans(now);
  const tokens = waiting === 0 ? borrowed.filter((l) => l.tokensOnly) : [];
  for (const loan of tokens) share.giveBack(loan, loan.amount, now);
  let surplus = surplusOf(share, state);
  const loans = borrowed.filter((l) => !l.tokensOnly).sort((a, b) =>
    Number(zoneMates.has(a.lender)) - Number(zoneMates.has(b.lender))
  );
  for (const loan of loans) {
    if (surplus <= ROUNDING) return;
    const by = Math.min(loan.amount, surplus);
    share.giveBack(loan, by, now);
    surplus -= by;
  }
}
