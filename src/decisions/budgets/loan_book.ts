/**
 * Loans of one budget at one instance, lent and borrowed.
 *
 * On either side a loan's amount only falls and its end only rises, so that
 * messages may be lost, repeated, reordered or late: a lender counts a share as
 * lent until it is reported returned or the borrower's lease has expired by the
 * lender's clock. If a returned loan were dropped at once, a late grant would
 * restore it and two instances would spend the same share; so its record stays
 * until every such message has expired.
 *
 * @module
 */
import { invariant } from "./invariant.ts";
import { LEASE_MS } from "./lease.ts";

/** An amount lent to another instance. */
export interface LentLoan {
  readonly id: number;
  readonly borrower: string;
  /** Lends burst capacity with its tokens, but no rate. */
  readonly tokensOnly: boolean;
  amount: number;
  /** When the loan expires, on the lender's clock. */
  end: number;
  /** Tokens returned by the borrower so far. */
  tokensBack: number;
  /** No longer renewed, because the lender needs the amount itself. */
  reclaimed: boolean;
}

/** A loan to be recorded by the lender. */
export type NewLoan = Pick<
  LentLoan,
  "id" | "borrower" | "tokensOnly" | "amount" | "end"
>;

/** An amount borrowed from another instance. */
export interface BorrowedLoan {
  readonly id: number;
  readonly lender: string;
  readonly incarnation: string;
  readonly tokensOnly: boolean;
  amount: number;
  /** When the lease expires, on the borrower's clock. */
  end: number;
  tokensBack: number;
  /** When the amount was last reduced; reported for a while after that. */
  reducedAt: number;
}

/** A grant as received by the borrower. */
export interface AcceptedGrant {
  readonly id: number;
  readonly lender: string;
  readonly incarnation: string;
  readonly tokensOnly: boolean;
  readonly amount: number;
  readonly end: number;
}

/** Both sides of one budget's loans. */
export class LoanBook {
  readonly #lent = new Map<number, LentLoan>();
  readonly #borrowed = new Map<string, BorrowedLoan>();
  readonly #retentionMs: number;
  #lentSum = 0;
  #lentRate = 0;
  #nextLentEnd = Infinity;
  #borrowedSum = 0;
  #borrowedRate = 0;
  #nextBorrowedEnd = Infinity;

  /** `retentionMs`: how long an expired loan may still be in use or reported. */
  constructor(retentionMs: number = LEASE_MS) {
    this.#retentionMs = retentionMs;
  }

  /** Whether there are no loans and no records of former ones. */
  get empty(): boolean {
    return this.#lent.size === 0 && this.#borrowed.size === 0;
  }

  /** When the next borrowed loan expires; infinite without any. */
  get nextBorrowedEnd(): number {
    return this.#nextBorrowedEnd;
  }

  /** The total lent at `now`. */
  lentTotal(now: number): number {
    if (now >= this.#nextLentEnd) this.#sumLent(now);
    return this.#lentSum;
  }

  /** The total lent with rate, without loans of tokens only. */
  lentRate(now: number): number {
    this.lentTotal(now);
    return this.#lentRate;
  }

  /** The total borrowed that may be spent at `now`. */
  borrowedTotal(now: number): number {
    if (now >= this.#nextBorrowedEnd) this.#sumBorrowed(now);
    return this.#borrowedSum;
  }

  /** The total borrowed with rate, without loans of tokens only. */
  borrowedRate(now: number): number {
    this.borrowedTotal(now);
    return this.#borrowedRate;
  }

  /** Records a loan; the lender does so before it sends the grant. */
  lend(
    loan: NewLoan,
    now: number,
  ): LentLoan {
    invariant(!this.#lent.has(loan.id), `loan ${loan.id} is lent twice`);
    invariant(loan.amount > 0, `loan ${loan.id} has no amount`);
    const row = { ...loan, tokensBack: 0, reclaimed: false };
    this.#lent.set(loan.id, row);
    this.#sumLent(now);
    return row;
  }

  /** A loan that is lent at `now`. */
  lentLoan(id: number, now: number): LentLoan | undefined {
    this.lentTotal(now);
    return this.#lent.get(id);
  }

  /** Every loan that is lent at `now`. */
  lentLoans(now: number): LentLoan[] {
    this.lentTotal(now);
    return [...this.#lent.values()];
  }

  /** Extends a loan's lease; its end never moves back. */
  extend(loan: LentLoan, end: number): void {
    loan.end = Math.max(loan.end, end);
  }

  /** Reduces a lent loan to the amount its borrower reports; it never rises. */
  reduceLent(loan: LentLoan, amount: number, now: number): void {
    loan.amount = Math.min(loan.amount, Math.max(0, amount));
    if (loan.amount === 0) this.#lent.delete(loan.id);
    this.#sumLent(now);
  }

  /** Records a grant, which may be a repeated one; true if the loan is new. */
  accept(grant: AcceptedGrant, now: number): boolean {
    if (grant.end <= now || grant.amount <= 0) return false;
    const key = `${grant.lender} ${grant.incarnation} ${grant.id}`;
    const known = this.#borrowed.get(key);
    if (known !== undefined) {
      known.end = Math.max(known.end, grant.end);
      known.amount = Math.min(known.amount, grant.amount);
    } else {
      this.#borrowed.set(key, {
        ...grant,
        tokensBack: 0,
        reducedAt: -Infinity,
      });
    }
    this.#sumBorrowed(now);
    return known === undefined;
  }

  /** Reduces a borrowed loan, before that is reported to the lender. */
  reduceBorrowed(loan: BorrowedLoan, { by, tokens, now }: {
    by: number;
    tokens: number;
    now: number;
  }): void {
    invariant(by > 0 && tokens >= 0, `loan ${loan.id} must not increase`);
    loan.amount = by >= loan.amount ? 0 : loan.amount - by;
    loan.tokensBack += tokens;
    loan.reducedAt = now;
    this.#sumBorrowed(now);
  }

  /** Borrowed loans that may be spent at `now`. */
  borrowedLoans(now: number): BorrowedLoan[] {
    return [...this.#borrowed.values()]
      .filter((l) => l.amount > 0 && now < l.end);
  }

  /** Expired borrowed loans that have not been returned. */
  expiredLoans(now: number): BorrowedLoan[] {
    return [...this.#borrowed.values()]
      .filter((l) => l.amount > 0 && now >= l.end);
  }

  /** Loans to report to a lender: the live ones, and those reduced of late. */
  loansToReport(lender: string, now: number): BorrowedLoan[] {
    return [...this.#borrowed.values()].filter((l) =>
      l.lender === lender && (now < l.end || now < l.reducedAt + LEASE_MS)
    );
  }

  #sumLent(now: number): void {
    let sum = 0;
    let rate = 0;
    let next = Infinity;
    for (const loan of this.#lent.values()) {
      if (loan.end <= now) {
        this.#lent.delete(loan.id);
        continue;
      }
      sum += loan.amount;
      if (!loan.tokensOnly) rate += loan.amount;
      next = Math.min(next, loan.end);
    }
    this.#lentSum = sum;
    this.#lentRate = rate;
    this.#nextLentEnd = next;
  }

  #sumBorrowed(now: number): void {
    let sum = 0;
    let rate = 0;
    let next = Infinity;
    for (const [key, loan] of this.#borrowed) {
      if (Math.max(loan.end, loan.reducedAt) + this.#retentionMs <= now) {
        this.#borrowed.delete(key);
      }
      if (loan.end <= now || loan.amount === 0) continue;
      sum += loan.amount;
      if (!loan.tokensOnly) rate += loan.amount;
      next = Math.min(next, loan.end);
    }
    this.#borrowedSum = sum;
    this.#borrowedRate = rate;
    this.#nextBorrowedEnd = next;
  }
}
