/**
 * Loans of one budget at one holder: what it lent and what it borrowed.
 *
 * A loan's amount only falls and its end only rises, on either side, so that
 * messages may be lost, repeated, reordered or late: a lender counts a part
 * as lent until it hears that it was given back or its own clock says that the
 * borrower's lease has ended. Were a returned loan forgotten at once, a late
 * grant would bring it back and two holders would spend the same part; so its
 * record stays until every such message has run out.
 *
 * @module
 */
import { invariant } from "./invariant.ts";
import { LEASE_MS } from "./lease.ts";

/** A part lent to another holder. */
export interface LentLoan {
  readonly id: number;
  readonly borrower: string;
  /** Lends room for tokens and no rate. */
  readonly tokensOnly: boolean;
  amount: number;
  /** When it comes back by itself, on the lender's clock. */
  end: number;
  /** Tokens that the borrower has given back so far. */
  tokensBack: number;
  /** No longer prolonged, because the lender needs it itself. */
  reclaimed: boolean;
}

/** A loan to be written down. */
export type NewLoan = Pick<
  LentLoan,
  "id" | "borrower" | "tokensOnly" | "amount" | "end"
>;

/** A part borrowed from another holder. */
export interface BorrowedLoan {
  readonly id: number;
  readonly lender: string;
  readonly incarnation: string;
  readonly tokensOnly: boolean;
  amount: number;
  /** When it may no longer be spent, on the borrower's clock. */
  end: number;
  tokensBack: number;
  /** When the amount last fell; the lender is told for a while. */
  loweredAt: number;
}

/** A grant as the borrower reads it. */
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
  readonly #rememberMs: number;
  #lentSum = 0;
  #lentRate = 0;
  #nextLentEnd = Infinity;
  #borrowedSum = 0;
  #borrowedRate = 0;
  #nextBorrowedEnd = Infinity;

  /** `rememberMs`: how long a borrowed part that ended may be in use or told. */
  constructor(rememberMs: number = LEASE_MS) {
    this.#rememberMs = rememberMs;
  }

  /** Whether nothing is lent, borrowed or still to be remembered. */
  get empty(): boolean {
    return this.#lent.size === 0 && this.#borrowed.size === 0;
  }

  /** When the next borrowed part ends; infinite without any. */
  get nextBorrowedEnd(): number {
    return this.#nextBorrowedEnd;
  }

  /** What is lent at `now`. */
  lentTotal(now: number): number {
    if (now >= this.#nextLentEnd) this.#sumLent(now);
    return this.#lentSum;
  }

  /** What of it takes rate along. */
  lentRate(now: number): number {
    this.lentTotal(now);
    return this.#lentRate;
  }

  /** What is borrowed and may be spent at `now`. */
  borrowedTotal(now: number): number {
    if (now >= this.#nextBorrowedEnd) this.#sumBorrowed(now);
    return this.#borrowedSum;
  }

  /** What of it brings rate along. */
  borrowedRate(now: number): number {
    this.borrowedTotal(now);
    return this.#borrowedRate;
  }

  /** Writes a loan down; the lender does so before it tells the borrower. */
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

  /** A loan that is out at `now`. */
  lent(id: number, now: number): LentLoan | undefined {
    this.lentTotal(now);
    return this.#lent.get(id);
  }

  /** Every loan that is out at `now`. */
  lentLoans(now: number): LentLoan[] {
    this.lentTotal(now);
    return [...this.#lent.values()];
  }

  /** Moves a loan's end on; it never moves back. */
  prolong(loan: LentLoan, end: number): void {
    loan.end = Math.max(loan.end, end);
  }

  /** Takes in that the borrower holds no more than `amount`; it never rises. */
  returned(loan: LentLoan, amount: number, now: number): void {
    loan.amount = Math.min(loan.amount, Math.max(0, amount));
    if (loan.amount === 0) this.#lent.delete(loan.id);
    this.#sumLent(now);
  }

  /** Takes in a grant, once or again; true where the loan is a new one. */
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
        loweredAt: -Infinity,
      });
    }
    this.#sumBorrowed(now);
    return known === undefined;
  }

  /** Lowers a borrowed part, before its lender is told. */
  lower(loan: BorrowedLoan, { by, tokens, now }: {
    by: number;
    tokens: number;
    now: number;
  }): void {
    invariant(by > 0 && tokens >= 0, `loan ${loan.id} must not rise`);
    loan.amount = by >= loan.amount ? 0 : loan.amount - by;
    loan.tokensBack += tokens;
    loan.loweredAt = now;
    this.#sumBorrowed(now);
  }

  /** Borrowed parts that may be spent at `now`. */
  borrowedLoans(now: number): BorrowedLoan[] {
    return [...this.#borrowed.values()]
      .filter((l) => l.amount > 0 && now < l.end);
  }

  /** Borrowed parts that ended and were not given back yet. */
  endedLoans(now: number): BorrowedLoan[] {
    return [...this.#borrowed.values()]
      .filter((l) => l.amount > 0 && now >= l.end);
  }

  /** What the lender named has to hear: live parts, and those just lowered. */
  toldTo(lender: string, now: number): BorrowedLoan[] {
    return [...this.#borrowed.values()].filter((l) =>
      l.lender === lender && (now < l.end || now < l.loweredAt + LEASE_MS)
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
      if (Math.max(loan.end, loan.loweredAt) + this.#rememberMs <= now) {
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
