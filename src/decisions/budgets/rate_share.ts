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
import {
  failUnaccounted,
  invariant,
  type OnUnaccounted,
  ROUNDING,
} from "./invariant.ts";
import {
  type BorrowedLoan,
  type LentLoan,
  LoanBook,
  type NewLoan,
} from "./loan_book.ts";
import { leaseWithin, lenderSpan } from "./lease.ts";
import type { Entitlement } from "./seat_shares.ts";

/** One account's row in the table of rates. */
export class RateShare {
  readonly book = new LoanBook();
  readonly demand: DemandMeter;
  readonly #bucket: TokenBucket;
  #total: BucketSize;
  #own: Entitlement = { amount: 0, until: Infinity };
  #lapses = 0;
  #usable = 0;
  #room = 0;
  /** Whether its parts pass the whole, so that nothing is given out. */
  #suspended = false;
  readonly #onUnaccounted: OnUnaccounted;

  /**
   * @param onUnaccounted Told once when the parts pass the whole. Where it
   * returns, this share gives nothing out until they fit again: other accounts
   * are served on, and this one cannot pass its rate by a fault of the program.
   */
  constructor(
    total: BucketSize,
    now: number,
    onUnaccounted: OnUnaccounted = failUnaccounted,
  ) {
    this.#onUnaccounted = onUnaccounted;
    this.#total = total;
    this.demand = new DemandMeter(now);
    this.#bucket = new TokenBucket({ ratePerS: 0, burst: 0 }, now);
  }

  /** The whole rate and burst, over all instances. */
  get total(): BucketSize {
    return this.#total;
  }

  /** The fraction of the rate that comes in here, as of the last refresh. */
  get usable(): number {
    return this.#usable;
  }

  /** The fraction of the burst that fits in here, as of the last refresh. */
  get room(): number {
    return this.#room;
  }

  /** Whether more rate is lent than now falls to this instance's seats. */
  overLent(now: number): boolean {
    return this.book.lentRate(now) > this.#own.amount + ROUNDING;
  }

  /** What falls to this instance's seats and is not lent. */
  spareOwn(now: number): number {
    return Math.max(0, this.#own.amount - this.book.lentRate(now));
  }

  /**
   * The longest lease, in milliseconds, for lending `more` rate; zero if there
   * is none to lend. Rate is lent from the own part alone: borrowed parts that
   * were lent on could come round to their lender, and each lease of the circle
   * would wait for the next to be prolonged until all of them end at once.
   */
  rateLease(more: number, now: number): number {
    const { amount, until } = this.#own;
    if (this.#suspended) return 0;
    if (this.book.lentRate(now) + more > amount + ROUNDING) return 0;
    const covered = amount + this.#backing(now);
    if (this.book.lentTotal(now) + more > covered + ROUNDING) return 0;
    return Math.max(0, leaseWithin(until - now));
  }

  /**
   * The longest lease, in milliseconds, for lending room for tokens; zero if
   * there is none. Room may be lent on from borrowed parts that outlast it; a
   * loan that outlasted what it is lent from would be spent beside the part of
   * whoever has that by then.
   */
  tokenLease(more: number, now: number): number {
    if (this.#suspended) return 0;
    const needed = this.book.lentTotal(now) + more - ROUNDING;
    let covered = this.#own.amount;
    let end = Math.min(this.#own.until, now + lenderSpan(TOKEN_LEASE_MS));
    if (covered >= needed) return Math.max(0, leaseWithin(end - now));
    for (const loan of this.#rateLoans(now)) {
      covered += loan.amount;
      end = Math.min(end, loan.end);
      if (covered >= needed) return Math.max(0, leaseWithin(end - now));
    }
    return 0;
  }

  /** The borrowed part that backs no loan of this instance. */
  returnable(now: number): number {
    const free = this.#own.amount + this.#backing(now) -
      this.book.lentTotal(now);
    return Math.max(0, Math.min(free, this.book.borrowedRate(now)));
  }

  /** Takes over a new rate and burst; the fractions stay. */
  setTotal(total: BucketSize, now: number): void {
    this.refresh(this.#own, now);
    this.#total = total;
    this.#resize(now);
  }

  /**
   * Brings the share to `now`. Parts that ended meanwhile count up to their
   * end and no longer, whether or not the program was paused. `lapses` counts
   * how often the own part has ended: without a lapse since the last refresh
   * it was renewed in time, though this account was not looked at.
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

  /** Spends `count` tokens if there are as many. */
  take(now: number, count = 1): boolean {
    return this.#bucket.take(now, count);
  }

  /** Milliseconds until `count` tokens are there at the present part. */
  waitMs(now: number, count: number): number {
    const over = count - this.#room * this.#total.burst;
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
    loan: NewLoan,
    { tokens, now }: { tokens: number; now: number },
  ): number {
    invariant(
      loan.amount <= this.#room + ROUNDING,
      `lends ${loan.amount} of ${this.#room}`,
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
    invariant(
      loan.tokensOnly || by <= this.returnable(now) + ROUNDING,
      "gives back what it lent",
    );
    const tokens = this.#bucket.tokens(now) * by / Math.max(by, this.#room);
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

  #has(now: number): number {
    return this.#own.amount + this.book.borrowedTotal(now);
  }

  /** Borrowed rate that outlasts every loan of tokens made from here. */
  #backing(now: number): number {
    const last = this.book.lentLoans(now)
      .filter((loan) => loan.tokensOnly)
      .reduce((end, loan) => Math.max(end, loan.end), now);
    return this.#rateLoans(now)
      .filter((loan) => loan.end >= last)
      .reduce((sum, loan) => sum + loan.amount, 0);
  }

  /** Borrowed parts with rate, the longest lease first. */
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
    const room = this.#has(at) - this.book.lentTotal(at);
    const fits = rate <= 1 + ROUNDING && room <= 1 + ROUNDING;
    if (!fits && !this.#suspended) {
      this.#onUnaccounted(`parts of ${rate} and ${room} pass the whole`);
    }
    this.#suspended = !fits;
    this.#usable = fits ? Math.max(0, rate) : 0;
    this.#room = fits ? Math.max(0, room) : 0;
    this.#bucket.resize({
      ratePerS: this.#total.ratePerS * this.#usable,
      burst: this.#total.burst * this.#room,
    }, at);
  }
}

const MS_PER_S = 1_000;

/** Tokens are lent to requests that wait; a round trip and some spare. */
const TOKEN_LEASE_MS = 600;
