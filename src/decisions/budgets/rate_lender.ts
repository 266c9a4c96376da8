/**
 * The lending side of account rates: grants, renewals and reclaims.
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
import type { InstanceIncarnation } from "./budget_table.ts";
import { EPSILON } from "./invariant.ts";
import { lenderLeaseMs } from "./lease.ts";
import type { LentLoan } from "./loan_book.ts";
import {
  lendableFraction,
  lendableTokens,
  neededFraction,
  type RateState,
} from "./rate_policy.ts";
import type { RateRow } from "./rate_row.ts";

/** Dependencies of a rate lender. */
export interface RateLenderDeps {
  /** This instance's incarnation; loans of an earlier one are ignored. */
  readonly incarnation: string;
  readonly state: (row: RateRow, now: number) => RateState;
}

const MIN_LEASE_MS = 100;
const MAX_LOANS_PER_BORROWER = 16;

/** Lends shares of account rates. */
export class RateLender {
  readonly #deps: RateLenderDeps;
  #loanId = 0;
  #closed = false;

  constructor(deps: RateLenderDeps) {
    this.#deps = deps;
  }

  /** Makes no new loans and renews none from now on. */
  close(): void {
    this.#closed = true;
  }

  /** Lends what a borrower asks for, within what can be spared. */
  lend(
    row: RateRow,
    ask: BudgetAsk,
    from: InstanceIncarnation,
    now: number,
  ): BudgetGrant[] {
    if (this.#closed) return [];
    const loans = [
      this.#lendTokens(row, ask, from, now),
      this.#lendRate(row, ask, from, now),
    ];
    return loans.filter((loan) => loan !== undefined);
  }

  /** Handles a borrower's report of one loan; returns a renewal or reclaim. */
  report(
    row: RateRow,
    held: HeldLoan,
    from: InstanceIncarnation,
    now: number,
  ): BudgetGrant[] {
    if (held.lenderIncarnation !== this.#deps.incarnation) return [];
    const loan = row.share.book.lentLoan(held.id, now);
    if (loan === undefined || loan.borrower !== from.instance) return [];
    const { amount, tokensBack } = held;
    row.share.takeBack(loan, { amount, tokensBack, now });
    if (loan.amount < amount || loan.amount === 0) return [];
    if (!held.renew || loan.tokensOnly || this.#closed) return [];
    if (this.#shouldReclaim(row, loan, now)) {
      const grant = this.#grant(row, loan, { tokens: 0, leaseMs: 0 });
      return [{ ...grant, reclaim: true }];
    }
    const leaseMs = row.share.maxRateLeaseMs(0, now);
    if (leaseMs < MIN_LEASE_MS) return [];
    row.share.book.extend(loan, now + lenderLeaseMs(leaseMs));
    return [this.#grant(row, loan, { tokens: 0, leaseMs })];
  }

  /**
   * A lender short of rate reclaims loans, up to what it lacks. One whose own
   * share has fallen below what it lent reclaims all: renewed loans would be
   * spent in addition to the share of the seat's next holder.
   */
  #shouldReclaim(row: RateRow, loan: LentLoan, now: number): boolean {
    const { share } = row;
    const short = neededFraction(share, this.#deps.state(row, now)) -
      share.rateFraction;
    const returning = share.book.lentLoans(now)
      .filter((l) => l.reclaimed)
      .reduce((sum, l) => sum + l.amount, 0);
    const overLent = share.isOverLent(now);
    if (overLent || short - returning > EPSILON) loan.reclaimed = true;
    return loan.reclaimed;
  }

  /** Lends whole tokens for waiting requests, without rate. */
  #lendTokens(
    row: RateRow,
    ask: BudgetAsk,
    from: InstanceIncarnation,
    now: number,
  ): BudgetGrant | undefined {
    const spare = lendableTokens(row.share, this.#deps.state(row, now));
    const tokens = Math.min(ask.tokens, Math.floor(spare));
    if (!(tokens >= 1)) return undefined;
    const amount = tokens / row.share.total.burst;
    return this.#lend(row, from, { amount, tokens, now, tokensOnly: true });
  }

  #lendRate(
    row: RateRow,
    ask: BudgetAsk,
    from: InstanceIncarnation,
    now: number,
  ): BudgetGrant | undefined {
    const { share } = row;
    const spare = lendableFraction(share, this.#deps.state(row, now));
    const amount = Math.min(ask.wanted, spare, share.burstFraction);
    if (!(amount > EPSILON)) return undefined;
    const tokens = share.tokens(now) * amount / share.burstFraction;
    return this.#lend(row, from, { amount, tokens, now, tokensOnly: false });
  }

  #lend(
    row: RateRow,
    { instance: borrower }: InstanceIncarnation,
    { amount, tokens, now, tokensOnly }: {
      amount: number;
      tokens: number;
      now: number;
      tokensOnly: boolean;
    },
  ): BudgetGrant | undefined {
    const { share } = row;
    const leaseMs = tokensOnly
      ? share.maxTokenLeaseMs(amount, now)
      : share.maxRateLeaseMs(amount, now);
    const loans = share.book.lentLoans(now)
      .filter((l) => l.borrower === borrower);
    if (loans.length >= MAX_LOANS_PER_BORROWER) return undefined;
    if (leaseMs < MIN_LEASE_MS) return undefined;
    const id = ++this.#loanId;
    const end = now + lenderLeaseMs(leaseMs);
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
