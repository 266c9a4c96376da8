/**
 * The table of accounts' rates at one instance, and its side of lending.
 *
 * @module
 */
import { create } from "@bufbuild/protobuf";
import type { AccountId } from "../../core/mod.ts";
import type { SteeringDocument } from "../../document/mod.ts";
import {
  type BudgetAsk,
  BudgetAskSchema,
  type BudgetDemand,
  BudgetDemandSchema,
  type BudgetGrant,
  BudgetGrantSchema,
  BudgetKind,
  type HeldLoan,
} from "../../gen/budget_pb.ts";
import { askEach, byNearness } from "./ask_plan.ts";
import type {
  BudgetPeer,
  BudgetTable,
  LenderAnswer,
  Party,
} from "./budget_table.ts";
import { isDue, toHeld } from "./held_loan.ts";
import { ROUNDING } from "./invariant.ts";
import { LEASE_MS, leaseWithin, lenderSpan } from "./lease.ts";
import type { LentLoan } from "./loan_book.ts";
import { needOf, spareOf, surplusOf, wantOf } from "./rate_policy.ts";
import { RateShare } from "./rate_share.ts";
import type { Entitlement, SeatShares } from "./seat_shares.ts";

/** One account's row. */
export interface RateRow {
  readonly account: AccountId;
  readonly share: RateShare;
  /** Requests that wait for a token here. */
  waiting: number;
  /** Ticks in a row in which something was missing. */
  missedTicks: number;
  /** Demand that other instances told, as a fraction of the rate. */
  readonly peerDemand: Map<string, { demand: number; at: number }>;
}

/** An instance's part of an account's rate. */
export interface Spendable {
  readonly fraction: number;
  readonly tokens: number;
}

/** What a table of rates needs. */
export interface RateBudgetsDeps {
  readonly self: BudgetPeer & Party;
  readonly shares: SeatShares;
  /** Instances that can be asked at present. */
  readonly peers: () => readonly BudgetPeer[];
  /** How long a seat has surely not been used when it changes hands. */
  readonly restMs: () => number;
  /** Told when an account's part has grown. */
  readonly onGrown?: (account: AccountId, now: number) => void;
}

const SHORTEST_LEASE_MS = 100;
const MOST_LOANS_A_BORROWER = 8;
const DEMAND_FRESH_MS = 1_500;

interface PlannedAsk {
  readonly wanted: number;
  readonly tokens: number;
}

/** Accounts' rates, as a table that systems run over each tick. */
export class RateBudgets implements BudgetTable {
  readonly kind = BudgetKind.RATE;
  readonly #deps: RateBudgetsDeps;
  readonly #rows = new Map<AccountId, RateRow>();
  readonly #active = new Set<RateRow>();
  readonly #plan = new Map<string, Map<RateRow, PlannedAsk>>();
  #own: Entitlement = { amount: 0, until: 0 };
  #loanId = 0;

  constructor(deps: RateBudgetsDeps) {
    this.#deps = deps;
  }

  /** Rows in use: with demand, with loans, or with requests waiting. */
  get active(): ReadonlySet<RateRow> {
    return this.#active;
  }

  /** Takes over rates and bursts of a newly accepted document. */
  adopt(document: SteeringDocument, now: number): void {
    for (const [id, row] of this.#rows) {
      if (Object.hasOwn(document.rates, id)) continue;
      this.#rows.delete(id);
      this.#active.delete(row);
    }
    for (const [key, rate] of Object.entries(document.rates)) {
      const account = key as AccountId;
      const total = { ratePerS: rate.rate_per_s, burst: rate.burst };
      const known = this.#rows.get(account);
      if (known !== undefined) known.share.setTotal(total, now);
      else this.#rows.set(account, newRow(account, total, now));
    }
    this.#refreshAll(now);
  }

  /** The account's row, brought to `now`; undefined without a rate. */
  open(account: AccountId, now: number): RateRow | undefined {
    const row = this.#rows.get(account);
    if (row === undefined) return undefined;
    this.#refresh(row, now);
    this.#active.add(row);
    return row;
  }

  /** Gives back what is not needed and plans what to ask; once a tick. */
  run(now: number): void {
    const before = this.#own.amount;
    const own = this.#ownAt(now);
    if (own.amount < before) this.#refreshAll(now);
    this.#plan.clear();
    const groups = byNearness(this.#deps.self, this.#deps.peers());
    for (const row of this.#active) {
      this.#refresh(row, now);
      row.share.demand.roll(now);
      this.#giveBack(row, now);
      this.#planAsks(row, groups, now);
      if (idle(row, now)) this.#active.delete(row);
    }
  }

  asksTo(lender: string, now: number): BudgetAsk[] {
    const planned = this.#plan.get(lender);
    this.#plan.delete(lender);
    const asks: BudgetAsk[] = [];
    for (const row of this.#active) {
      const ask = this.#askTo(row, lender, planned?.get(row), now);
      if (ask.wanted > 0 || ask.held.length > 0) asks.push(ask);
    }
    return asks;
  }

  /** A question outside the plan, for requests that wait. */
  askNow(row: RateRow, lender: string, { wanted, now }: {
    wanted: number;
    now: number;
  }): BudgetAsk {
    this.#refresh(row, now);
    const planned = { wanted, tokens: wanted * row.share.total.burst };
    return this.#askTo(row, lender, planned, now);
  }

  answer(ask: BudgetAsk, from: Party, now: number): LenderAnswer {
    const row = this.open(ask.key as AccountId, now);
    if (row === undefined) return { grants: [] };
    row.peerDemand.set(from.instance, { demand: ask.demand, at: now });
    const grants = ask.held.flatMap((held) =>
      this.#report(row, held, from, now)
    );
    if (!(ask.wanted > 0)) return { grants };
    const loan = this.#lend(row, ask, from, now);
    if (loan !== undefined) grants.push(loan);
    const demand = create(BudgetDemandSchema, {
      kind: this.kind,
      key: ask.key,
      demand: demandOf(row),
    });
    return { grants, demand };
  }

  accept(grant: BudgetGrant, from: Party, end: number, now: number): void {
    const row = this.open(grant.key as AccountId, now);
    if (row === undefined) return;
    row.share.accept({
      id: grant.id,
      lender: from.instance,
      incarnation: from.incarnation,
      amount: grant.amount,
      end,
    }, { tokens: grant.tokens, now });
    this.#deps.onGrown?.(row.account, now);
  }

  learn(demand: BudgetDemand, from: Party, now: number): void {
    const row = this.#rows.get(demand.key as AccountId);
    row?.peerDemand.set(from.instance, { demand: demand.demand, at: now });
  }

  /** The demand of all instances as far as known, as a fraction of the rate. */
  fleetDemand(row: RateRow, now: number): number {
    let sum = demandOf(row);
    for (const { demand, at } of row.peerDemand.values()) {
      if (now - at < DEMAND_FRESH_MS) sum += demand;
    }
    return sum;
  }

  /** What may be spent here of an account's rate, and its tokens at hand. */
  spendable(account: AccountId, now: number): Spendable {
    const row = this.#rows.get(account);
    if (row === undefined) return { fraction: 0, tokens: 0 };
    this.#refresh(row, now);
    return { fraction: row.share.usable, tokens: row.share.tokens(now) };
  }

  #ownAt(now: number): Entitlement {
    const holdMs = Math.max(0, lenderSpan(LEASE_MS) - this.#deps.restMs());
    this.#own = this.#deps.shares.fraction(now, holdMs);
    return this.#own;
  }

  #refresh(row: RateRow, now: number): void {
    row.share.refresh(this.#ownAt(now), now);
  }

  #refreshAll(now: number): void {
    const own = this.#ownAt(now);
    for (const row of this.#rows.values()) row.share.refresh(own, now);
  }

  /** The farthest loans go back first: a zone-mate stays in reach in a cut. */
  #giveBack(row: RateRow, now: number): void {
    const waiting = { waiting: row.waiting, now };
    let surplus = surplusOf(row.share, waiting);
    if (surplus <= 0) return;
    const mates = new Set(
      byNearness(this.#deps.self, this.#deps.peers())[0]
        ?.map((p) => p.instance),
    );
    const loans = row.share.book.borrowedLoans(now).sort((a, b) =>
      Number(mates.has(a.lender)) - Number(mates.has(b.lender))
    );
    for (const loan of loans) {
      if (surplus <= ROUNDING) return;
      const by = Math.min(loan.amount, surplus);
      row.share.giveBack(loan, by, now);
      surplus -= by;
    }
  }

  #planAsks(row: RateRow, groups: BudgetPeer[][], now: number): void {
    const want = wantOf(row.share, { waiting: row.waiting, now });
    row.missedTicks = want > 0 ? row.missedTicks + 1 : 0;
    if (want === 0) return;
    const peers = row.missedTicks === 1 ? groups[0] ?? [] : groups.flat();
    const wanted = askEach(want, peers.length);
    const tokens = wanted * row.share.total.burst;
    for (const { instance } of peers) {
      const asks = this.#plan.get(instance) ?? new Map();
      asks.set(row, { wanted, tokens });
      this.#plan.set(instance, asks);
    }
  }

  #askTo(
    row: RateRow,
    lender: string,
    planned: PlannedAsk | undefined,
    now: number,
  ): BudgetAsk {
    const held = row.share.book.toldTo(lender, now)
      .filter((loan) => isDue(loan, now))
      .map((loan) => toHeld(loan, now));
    return create(BudgetAskSchema, {
      kind: this.kind,
      key: row.account,
      demand: demandOf(row),
      wanted: planned?.wanted ?? 0,
      tokens: planned?.tokens ?? 0,
      held,
    });
  }

  /** What a borrower says of one loan; gives the prolonged lease, if any. */
  #report(
    row: RateRow,
    held: HeldLoan,
    from: Party,
    now: number,
  ): BudgetGrant[] {
    if (held.lenderIncarnation !== this.#deps.self.incarnation) return [];
    const loan = row.share.book.lent(held.id, now);
    if (loan === undefined || loan.borrower !== from.instance) return [];
    const { amount, tokensBack } = held;
    row.share.takeBack(loan, { amount, tokensBack, now });
    if (loan.amount < amount || loan.amount === 0 || !held.renew) return [];
    if (this.#reclaims(row, loan, now)) return [];
    const leaseMs = this.#leaseMs(row, now);
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
    const short = needOf(share, { waiting: row.waiting, now }) - share.usable;
    const coming = share.book.lentLoans(now)
      .filter((l) => l.reclaimed)
      .reduce((sum, l) => sum + l.amount, 0);
    const overLent = share.overLent(now);
    if (overLent || short - coming > ROUNDING) loan.reclaimed = true;
    return loan.reclaimed;
  }

  #lend(
    row: RateRow,
    ask: BudgetAsk,
    from: Party,
    now: number,
  ): BudgetGrant | undefined {
    const { share } = row;
    const loans = share.book.lentLoans(now)
      .filter((l) => l.borrower === from.instance);
    const spare = spareOf(share, { waiting: row.waiting, now });
    const amount = Math.min(ask.wanted, spare);
    const leaseMs = this.#leaseMs(row, now);
    if (loans.length >= MOST_LOANS_A_BORROWER || amount <= ROUNDING) return;
    if (leaseMs < SHORTEST_LEASE_MS) return;
    const loan = {
      id: ++this.#loanId,
      borrower: from.instance,
      amount,
      end: now + lenderSpan(leaseMs),
    };
    const tokens = share.lend(loan, { tokens: ask.tokens, now });
    return this.#grant(row, loan, { tokens, leaseMs });
  }

  /** A loan never outlasts the seats that it is lent from. */
  #leaseMs(row: RateRow, now: number): number {
    return leaseWithin(row.share.ownUntil - now);
  }

  #grant(
    row: RateRow,
    loan: Pick<LentLoan, "id" | "amount">,
    { tokens, leaseMs }: { tokens: number; leaseMs: number },
  ): BudgetGrant {
    return create(BudgetGrantSchema, {
      kind: this.kind,
      key: row.account,
      id: loan.id,
      amount: loan.amount,
      tokens,
      leaseMs,
    });
  }
}

function newRow(
  account: AccountId,
  total: { ratePerS: number; burst: number },
  now: number,
): RateRow {
  return {
    account,
    share: new RateShare(total, now),
    waiting: 0,
    missedTicks: 0,
    peerDemand: new Map(),
  };
}

function demandOf(row: RateRow): number {
  return row.share.demand.perS / row.share.total.ratePerS;
}

function idle(row: RateRow, now: number): boolean {
  return row.waiting === 0 && row.share.book.empty &&
    needOf(row.share, { waiting: 0, now }) === 0;
}
