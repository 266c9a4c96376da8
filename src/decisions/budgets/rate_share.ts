/**
 * An instance's share of one account's rate and burst.
 *
 * The usable share is that of the instance's seats, less what it lent, plus
 * what it borrowed. Rate, burst and tokens always move together: a lender's
 * bucket shrinks and removes tokens before the borrower's grows, so the tokens
 * of all instances never exceed the burst, and never arrive faster than the
 * rate.
 *
 * @module
 */
import { type BucketSize, TokenBucket } from "../limits/token_bucket.ts";
import { DemandMeter } from "./demand_meter.ts";
import {
  EPSILON,
  invariant,
  type OnOverallocated,
  throwOnOverallocation,
} from "./invariant.ts";
import {
  type BorrowedLoan,
  type LentLoan,
  LoanBook,
  type NewLoan,
} from "./loan_book.ts";
import { lenderLeaseMs, maxLeaseWithin } from "./lease.ts";
import type { Entitlement } from "./seat_shares.ts";

/** The share of one account's rate, with its loans and token bucket. */
export class RateShare {
  readonly book = new LoanBook();
  readonly demand: DemandMeter;
  readonly #bucket: TokenBucket;
  #total: BucketSize;
  #own: Entitlement = { amount: 0, until: Infinity };
  #lapses = 0;
  #rateFraction = 0;
  #burstFraction = 0;
  /** Whether the share exceeds the total, so that no tokens are granted. */
  #suspended = false;
  readonly #onOverallocated: OnOverallocated;

  /**
   * @param onOverallocated Called once when the share exceeds the total. If it
   * returns, this share grants and lends nothing until it fits again: other
   * accounts are still served, and a program fault cannot put this one above
   * its rate.
   */
  constructor(
    total: BucketSize,
    now: number,
    onOverallocated: OnOverallocated = throwOnOverallocation,
  ) {
    this.#onOverallocated = onOverallocated;
    this.#total = total;
    this.demand = new DemandMeter(now);
    this.#bucket = new TokenBucket({ ratePerS: 0, burst: 0 }, now);
  }

  /** The total rate and burst, over all instances. */
  get total(): BucketSize {
    return this.#total;
  }

  /** The usable fraction of the rate, as of the last refresh. */
  get rateFraction(): number {
    return this.#rateFraction;
  }

  /** The usable fraction of the burst, as of the last refresh. */
  get burstFraction(): number {
    return this.#burstFraction;
  }

  /** Whether more rate is lent than the share of this instance's seats. */
  isOverLent(now: number): boolean {
    return this.book.lentRate(now) > this.#own.amount + EPSILON;
  }

  /** The share of this instance's seats that is not lent. */
  unlentOwn(now: number): number {
    return Math.max(0, this.#own.amount - this.book.lentRate(now));
  }

  /**
   * The longest lease, in milliseconds, for lending `more` rate; zero if there
   * is none to lend. Rate is lent only from the share of the own seats: if
   * borrowed rate were lent again, loans could form a cycle in which each lease
   * depends on the renewal of the next, until all of them expire at once.
   */
  maxRateLeaseMs(more: number, now: number): number {
    const { amount, until } = this.#own;
    if (this.#suspended) return 0;
    if (this.book.lentRate(now) + more > amount + EPSILON) return 0;
    const covered = amount + this.#backingRate(now);
    if (this.book.lentTotal(now) + more > covered + EPSILON) return 0;
    return Math.max(0, maxLeaseWithin(until - now));
  }

  /**
   * The longest lease, in milliseconds, for lending tokens with their burst
   * capacity; zero if there is none. They may be lent from borrowed loans that
   * expire later; a loan that outlived its source would be spent in addition to
   * the share of the source's next holder.
   */
  maxTokenLeaseMs(more: number, now: number): number {
    if (this.#suspended) return 0;
    const needed = this.book.lentTotal(now) + more - EPSILON;
    let covered = this.#own.amount;
    let end = Math.min(this.#own.until, now + lenderLeaseMs(TOKEN_LEASE_MS));
    if (covered >= needed) return Math.max(0, maxLeaseWithin(end - now));
    for (const loan of this.#rateLoans(now)) {
      covered += loan.amount;
      end = Math.min(end, loan.end);
      if (covered >= needed) return Math.max(0, maxLeaseWithin(end - now));
    }
    return 0;
  }

  /** The borrowed rate that backs no loan made by this instance. */
  returnable(now: number): number {
    const free = this.#own.amount + this.#backingRate(now) -
      this.book.lentTotal(now);
    return Math.max(0, Math.min(free, this.book.borrowedRate(now)));
  }

  /** Applies a new rate and burst; the fractions are unchanged. */
  setTotal(total: BucketSize, now: number): void {
    this.refresh(this.#own, now);
    this.#total = total;
    this.#resize(now);
  }

  /**
   * Brings the share to `now`. Amounts that expired meanwhile count up to their
   * expiry only, even if the process was paused. `lapses` is how often the own
   * share has expired: without a lapse since the last refresh it was renewed in
   * time, even if this account was not refreshed.
   */
  refresh(own: Entitlement, now: number, lapses = this.#lapses): void {
    if (lapses === this.#lapses && own.until > now) {
      const amount = Math.min(own.amount, this.#own.amount);
      this.#own = { amount, until: Math.max(own.until, this.#own.until) };
    }
    this.#lapses = lapses;
    for (let end = this.#nextEnd(); end <= now; end = this.#nextEnd()) {
      if (end === this.#own.until) this.#own = { amount: 0, until: Infinity };
      this.#resize(end);
    }
    if (own.amount !== this.#own.amount || own.until !== this.#own.until) {
      this.#own = own.until > now ? own : { amount: 0, until: Infinity };
    }
    this.#resize(now);
  }

  /** Takes `count` tokens if they are available. */
  take(now: number, count = 1): boolean {
    return this.#bucket.take(now, count);
  }

  /** Milliseconds until `count` tokens are available at the present share. */
  waitMs(now: number, count: number): number {
    const over = count - this.#burstFraction * this.#total.burst;
    if (over <= 0) return this.#bucket.waitMs(now, count);
    if (this.#rateFraction <= 0) return Infinity;
    const rate = this.#rateFraction * this.#total.ratePerS;
    return (count - this.#bucket.tokens(now)) / rate * MS_PER_S;
  }

  /** Available tokens. */
  tokens(now: number): number {
    return this.#bucket.tokens(now);
  }

  /** Makes a loan; returns how many tokens go with it, at most `tokens`. */
  lend(
    loan: NewLoan,
    { tokens, now }: { tokens: number; now: number },
  ): number {
    invariant(
      loan.amount <= this.#burstFraction + EPSILON,
      `lends ${loan.amount} of a share of ${this.#burstFraction}`,
    );
    const most = Math.min(tokens, loan.amount * this.#total.burst);
    const moved = this.#bucket.remove(now, most);
    this.book.lend(loan, now);
    this.#resize(now);
    return moved;
  }

  /** Takes back the returned part of a loan with its tokens. */
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
    this.book.reduceLent(loan, amount, now);
    this.#resize(now);
    this.#bucket.add(now, Math.min(tokens, freed * this.#total.burst));
  }

  /** Returns `by` of a borrowed loan with a proportional part of the tokens. */
  returnBorrowed(loan: BorrowedLoan, by: number, now: number): void {
    invariant(
      loan.tokensOnly || by <= this.returnable(now) + EPSILON,
      "returns borrowed rate that it has lent",
    );
    const tokens = this.#bucket.tokens(now) * by /
      Math.max(by, this.#burstFraction);
    const moved = this.#bucket.remove(now, tokens);
    this.book.reduceBorrowed(loan, { by, tokens: moved, now });
    this.#resize(now);
  }

  /** Records a lender's grant; tokens are added for a new loan only. */
  accept(
    grant: Parameters<LoanBook["accept"]>[0],
    { tokens, now }: { tokens: number; now: number },
  ): void {
    const isNew = this.book.accept(grant, now);
    this.#resize(now);
    if (!isNew) return;
    this.#bucket.add(now, Math.min(tokens, grant.amount * this.#total.burst));
  }

  #heldFraction(now: number): number {
    return this.#own.amount + this.book.borrowedTotal(now);
  }

  /** Borrowed rate that expires no earlier than any loan of tokens made here. */
  #backingRate(now: number): number {
    const last = this.book.lentLoans(now)
      .filter((loan) => loan.tokensOnly)
      .reduce((end, loan) => Math.max(end, loan.end), now);
    return this.#rateLoans(now)
      .filter((loan) => loan.end >= last)
      .reduce((sum, loan) => sum + loan.amount, 0);
  }

  /** Borrowed loans with rate, the longest lease first. */
  #rateLoans(now: number): BorrowedLoan[] {
    return this.book.borrowedLoans(now)
      .filter((loan) => !loan.tokensOnly)
      .sort((a, b) => b.end - a.end);
  }

  #nextEnd(): number {
    return Math.min(this.book.nextBorrowedEnd, this.#own.until);
  }

  #resize(at: number): void {
    const own = this.#own.amount;
    const rate = own + this.book.borrowedRate(at) - this.book.lentRate(at);
    const burst = this.#heldFraction(at) - this.book.lentTotal(at);
    const fits = rate <= 1 + EPSILON && burst <= 1 + EPSILON;
    if (!fits && !this.#suspended) {
      this.#onOverallocated(
        `shares ${rate} of rate and ${burst} of burst exceed the total`,
      );
    }
    this.#suspended = !fits;
    this.#rateFraction = fits ? Math.max(0, rate) : 0;
    this.#burstFraction = fits ? Math.max(0, burst) : 0;
    this.#bucket.resize({
      ratePerS: this.#total.ratePerS * this.#rateFraction,
      burst: this.#total.burst * this.#burstFraction,
    }, at);
  }
}

const MS_PER_S = 1_000;

/** Lease of tokens lent to waiting requests: a round trip and some spare. */
const TOKEN_LEASE_MS = 600;
