/**
 * One account's share of its rate and burst at one instance.
 *
 * The spendable part is what falls to the instance's seats, less what it lent,
 * plus what it borrowed. Rate, burst and tokens always move together: a
 * lender's bucket shrinks and gives up tokens before the borrower's grows, so
 * the tokens of all instances never pass the burst, and never arrive faster
 * than the rate.
 *
 * @module
 */
import { type BucketSize, TokenBucket } from "../limits/token_bucket.ts";
import { DemandMeter } from "./demand_meter.ts";
import { invariant, ROUNDING } from "./invariant.ts";
import { type BorrowedLoan, type LentLoan, LoanBook } from "./loan_book.ts";
import type { Entitlement } from "./seat_shares.ts";

/** One account's row in the table of rates. */
export class RateShare {
  readonly book = new LoanBook();
  readonly demand: DemandMeter;
  readonly #bucket: TokenBucket;
  #total: BucketSize;
  #own: Entitlement = { amount: 0, until: Infinity };
  #usable = 0;

  constructor(total: BucketSize, now: number) {
    this.#total = total;
    this.demand = new DemandMeter(now);
    this.#bucket = new TokenBucket({ ratePerS: 0, burst: 0 }, now);
  }

  /** The whole rate and burst, over all instances. */
  get total(): BucketSize {
    return this.#total;
  }

  /** The spendable fraction as of the last refresh. */
  get usable(): number {
    return this.#usable;
  }

  /** What falls to this instance's seats and is not lent. */
  spareOwn(now: number): number {
    return Math.max(0, this.#own.amount - this.book.lentTotal(now));
  }

  /** Whether more is lent than now falls to this instance's seats. */
  overLent(now: number): boolean {
    return this.book.lentTotal(now) > this.#own.amount + ROUNDING;
  }

  /** When the instance's own part ends unless its seats are renewed. */
  get ownUntil(): number {
    return this.#own.until;
  }

  /** Takes over a new rate and burst; the fractions stay. */
  setTotal(total: BucketSize, now: number): void {
    this.refresh(this.#own, now);
    this.#total = total;
    this.#resize(now);
  }

  /**
   * Brings the share to `now`. Parts that ended meanwhile count up to their
   * end and no longer, whether or not the program was paused.
   */
  refresh(own: Entitlement, now: number): void {
    for (let end = this.#nextEnd(); end <= now; end = this.#nextEnd()) {
      if (end === this.#own.until) this.#own = { amount: 0, until: Infinity };
      this.#resize(end);
    }
    if (own.amount !== this.#own.amount || own.until !== this.#own.until) {
      this.#own = own.until > now ? own : { amount: 0, until: Infinity };
    }
    this.#resize(now);
  }

  /** Spends `count` tokens if there are as many. */
  take(now: number, count = 1): boolean {
    return this.#bucket.take(now, count);
  }

  /** Milliseconds until `count` tokens are there at the present part. */
  waitMs(now: number, count: number): number {
    const over = count - this.#usable * this.#total.burst;
    if (over <= 0) return this.#bucket.waitMs(now, count);
    if (this.#usable <= 0) return Infinity;
    const rate = this.#usable * this.#total.ratePerS;
    return (count - this.#bucket.tokens(now)) / rate * MS_PER_S;
  }

  /** Tokens at hand. */
  tokens(now: number): number {
    return this.#bucket.tokens(now);
  }

  /** Lends a part; gives how many tokens go with it, `tokens` at most. */
  lend(
    loan: Pick<LentLoan, "id" | "borrower" | "amount" | "end">,
    { tokens, now }: { tokens: number; now: number },
  ): number {
    invariant(
      loan.amount <= this.spareOwn(now) + ROUNDING,
      `lends ${loan.amount} of ${this.spareOwn(now)}`,
    );
    const most = Math.min(tokens, loan.amount * this.#total.burst);
    const moved = this.#bucket.remove(now, most);
    this.book.lend(loan, now);
    this.#resize(now);
    return moved;
  }

  /** Takes in a part that came back, with the tokens that came with it. */
  takeBack(
    loan: LentLoan,
    { amount, tokensBack, now }: {
      amount: number;
      tokensBack: number;
      now: number;
    },
  ): void {
    const freed = loan.amount - Math.max(0, amount);
    if (freed <= 0) return;
    const tokens = Math.max(0, tokensBack - loan.tokensBack);
    loan.tokensBack = Math.max(loan.tokensBack, tokensBack);
    this.book.returned(loan, amount, now);
    this.#resize(now);
    this.#bucket.add(now, Math.min(tokens, freed * this.#total.burst));
  }

  /** Gives back part of a loan, with its part of the tokens. */
  giveBack(loan: BorrowedLoan, by: number, now: number): void {
    const tokens = this.#bucket.tokens(now) * by /
      Math.max(by, this.#usable);
    const moved = this.#bucket.remove(now, tokens);
    this.book.lower(loan, { by, tokens: moved, now });
    this.#resize(now);
  }

  /** Takes in what a lender granted; tokens only with a new loan. */
  accept(
    grant: Parameters<LoanBook["accept"]>[0],
    { tokens, now }: { tokens: number; now: number },
  ): void {
    const isNew = this.book.accept(grant, now);
    this.#resize(now);
    if (!isNew) return;
    this.#bucket.add(now, Math.min(tokens, grant.amount * this.#total.burst));
  }

  #nextEnd(): number {
    return Math.min(this.book.nextBorrowedEnd, this.#own.until);
  }

  #resize(at: number): void {
    const spare = this.#own.amount - this.book.lentTotal(at);
    const usable = Math.max(0, spare) + this.book.borrowedTotal(at);
    invariant(
      usable <= 1 + ROUNDING,
      `a part of ${usable} passes the whole`,
    );
    this.#usable = usable;
    this.#bucket.resize({
      ratePerS: this.#total.ratePerS * usable,
      burst: this.#total.burst * usable,
    }, at);
  }
}

const MS_PER_S = 1_000;
