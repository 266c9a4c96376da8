/**
 * The lending side of accounts' rates: what goes to a borrower, what is
 * prolonged, and what is asked back.
 *
 * @module
 */
import { create } from "@bufbuild/protobuf";
import {
  type BudgetAsk,
  type BudgetGrant,
  BudgetGrantSchema,
  BudgetKind,
  type HeldLoan,
} from "../../gen/budget_pb.ts";
import type { Party } from "./budget_table.ts";
import { ROUNDING } from "./invariant.ts";
import { lenderSpan } from "./lease.ts";
import type { LentLoan } from "./loan_book.ts";
import {
  needOf,
  type RateState,
  spareOf,
  tokensToSpare,
} from "./rate_policy.ts";
import type { RateRow } from "./rate_row.ts";

/** What a lender needs. */
export interface RateLenderDeps {
  /** This life of the instance; loans of an earlier one are not its own. */
  readonly incarnation: string;
  readonly state: (row: RateRow, now: number) => RateState;
}

const SHORTEST_LEASE_MS = 100;
const MOST_LOANS_A_BORROWER = 16;

/** Lends parts of accounts' rates. */
export class RateLender {
  readonly #deps: RateLenderDeps;
  #loanId = 0;
  #closed = false;

  constructor(deps: RateLenderDeps) {
    this.#deps = deps;
  }

  /** Lends nothing and prolongs nothing from now on. */
  close(): void {
    this.#closed = true;
  }

  /** Lends what a question asks for, as far as there is any to spare. */
  lend(
    row: RateRow,
    ask: BudgetAsk,
    from: Party,
    now: number,
  ): BudgetGrant[] {
    if (this.#closed) return [];
    const loans = [
      this.#lendTokens(row, ask, from, now),
      this.#lendRate(row, ask, from, now),
    ];
    return loans.filter((loan) => loan !== undefined);
  }

  /** What a borrower says of one loan; gives the prolonged lease, if any. */
  report(
    row: RateRow,
    held: HeldLoan,
    from: Party,
    now: number,
  ): BudgetGrant[] {
    if (held.lenderIncarnation !== this.#deps.incarnation) return [];
    const loan = row.share.book.lent(held.id, now);
    if (loan === undefined || loan.borrower !== from.instance) return [];
    const { amount, tokensBack } = held;
    row.share.takeBack(loan, { amount, tokensBack, now });
    if (loan.amount < amount || loan.amount === 0) return [];
    if (!held.renew || loan.tokensOnly || this.#closed) return [];
    if (this.#reclaims(row, loan, now)) {
      const grant = this.#grant(row, loan, { tokens: 0, leaseMs: 0 });
      return [{ ...grant, reclaim: true }];
    }
    const leaseMs = row.share.rateLease(0, now);
    if (leaseMs < SHORTEST_LEASE_MS) return [];
    row.share.book.prolong(loan, now + lenderSpan(leaseMs));
    return [this.#grant(row, loan, { tokens: 0, leaseMs })];
  }

  /**
   * A lender that is short itself lets loans end, no more than it lacks. One
   * whose own part has fallen below what it lent lets them all end: prolonged,
   * they would be spent beside the part of whoever has its seat now.
   */
  #reclaims(row: RateRow, loan: LentLoan, now: number): boolean {
    const { share } = row;
    const short = needOf(share, this.#deps.state(row, now)) - share.usable;
    const coming = share.book.lentLoans(now)
      .filter((l) => l.reclaimed)
      .reduce((sum, l) => sum + l.amount, 0);
    const overLent = share.overLent(now);
    if (overLent || short - coming > ROUNDING) loan.reclaimed = true;
    return loan.reclaimed;
  }

  /** Whole tokens for requests that wait; the rate stays where it is. */
  #lendTokens(
    row: RateRow,
    ask: BudgetAsk,
    from: Party,
    now: number,
  ): BudgetGrant | undefined {
    const spare = tokensToSpare(row.share, this.#deps.state(row, now));
    const tokens = Math.min(ask.tokens, Math.floor(spare));
    if (!(tokens >= 1)) return undefined;
    const amount = tokens / row.share.total.burst;
    return this.#lend(row, from, { amount, tokens, now, tokensOnly: true });
  }

  #lendRate(
    row: RateRow,
    ask: BudgetAsk,
    from: Party,
    now: number,
  ): BudgetGrant | undefined {
    const { share } = row;
    const spare = spareOf(share, this.#deps.state(row, now));
    const amount = Math.min(ask.wanted, spare, share.room);
    if (!(amount > ROUNDING)) return undefined;
    const tokens = share.tokens(now) * amount / share.room;
    return this.#lend(row, from, { amount, tokens, now, tokensOnly: false });
  }

  #lend(
    row: RateRow,
    { instance: borrower }: Party,
    { amount, tokens, now, tokensOnly }: {
      amount: number;
      tokens: number;
      now: number;
      tokensOnly: boolean;
    },
  ): BudgetGrant | undefined {
    const { share } = row;
    const leaseMs = tokensOnly
      ? share.tokenLease(amount, now)
      : share.rateLease(amount, now);
    const loans = share.book.lentLoans(now)
      .filter((l) => l.borrower === borrower);
    if (loans.length >= MOST_LOANS_A_BORROWER) return undefined;
    if (leaseMs < SHORTEST_LEASE_MS) return undefined;
    const id = ++this.#loanId;
    const end = now + lenderSpan(leaseMs);
    const loan = { id, borrower, tokensOnly, amount, end };
    const moved = share.lend(loan, { tokens, now });
    return this.#grant(row, loan, { tokens: moved, leaseMs });
  }

  #grant(
    row: RateRow,
    loan: Pick<LentLoan, "id" | "amount" | "tokensOnly">,
    { tokens, leaseMs }: { tokens: number; leaseMs: number },
  ): BudgetGrant {
    return create(BudgetGrantSchema, {
      kind: BudgetKind.RATE,
      key: row.account,
      id: loan.id,
      amount: loan.amount,
      tokensOnly: loan.tokensOnly,
      tokens,
      leaseMs,
    });
  }
}
