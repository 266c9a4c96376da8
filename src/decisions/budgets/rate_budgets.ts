/**
 * The table of accounts' rates at one instance, and its side of lending.
 *
 * @module
 */
import { create } from "@bufbuild/protobuf";
import type { AccountId } from "../../core/mod.ts";
import { ownerOf } from "../steering/rendezvous.ts";
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
import { askEach, byNearness, startingWith } from "./ask_plan.ts";
import type {
  BudgetPeer,
  BudgetTable,
  LenderAnswer,
  Party,
} from "./budget_table.ts";
import { isDue, toHeld } from "./held_loan.ts";
import { ROUNDING } from "./invariant.ts";
import { LEASE_MS, lenderSpan } from "./lease.ts";
import type { LentLoan } from "./loan_book.ts";
import {
  IDLE_AFTER_MS,
  needOf,
  type Pool,
  poolFor,
  type RateState,
  spareOf,
  surplusOf,
  tokensToSpare,
  tokensWanted,
  wantOf,
} from "./rate_policy.ts";
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
  /** When another instance last asked for a part. */
  askedAt: number;
  pool: Pool;
  /** The instance that keeps the account's parts together; itself, maybe. */
  keeper: string | undefined;
  /** Demand that other instances told, as a fraction of the rate. */
  readonly peerDemand: Map<string, { demand: number; at: number }>;
}

/** An instance's part of an account's rate. */
export interface Spendable {
  /** Of the rate. */
  readonly fraction: number;
  /** Of the burst. */
  readonly room: number;
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
const MOST_LOANS_A_BORROWER = 16;
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
  /** How often the own part ended before it was renewed. */
  #lapses = 0;
  /** The own part that rows out of use may still count with. */
  #everywhere = Infinity;
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
    if (this.#ownAt(now).amount < this.#everywhere) this.#refreshAll(now);
    this.#plan.clear();
    const peers = this.#deps.peers();
    const groups = byNearness(this.#deps.self, peers);
    for (const row of this.#active) {
      this.#refresh(row, now);
      row.share.demand.roll(now);
      this.#chooseKeeper(row, peers);
      this.#giveBack(row, now);
      this.#planAsks(row, groups, now);
      if (this.#idle(row, now)) this.#active.delete(row);
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
  askNow(row: RateRow, lender: string, { wanted, tokens, now }: {
    wanted: number;
    tokens: number;
    now: number;
  }): BudgetAsk {
    this.#refresh(row, now);
    const planned = { wanted, tokens };
    return this.#askTo(row, lender, planned, now);
  }

  answer(ask: BudgetAsk, from: Party, now: number): LenderAnswer {
    const row = this.open(ask.key as AccountId, now);
    if (row === undefined) return { grants: [] };
    row.peerDemand.set(from.instance, { demand: ask.demand, at: now });
    const grants = ask.held.flatMap((held) =>
      this.#report(row, held, from, now)
    );
    if (!(ask.wanted > 0 || ask.tokens > 0)) return { grants };
    row.askedAt = now;
    const loans = [
      this.#lendTokens(row, ask, from, now),
      this.#lendRate(row, ask, from, now),
    ];
    grants.push(...loans.filter((loan) => loan !== undefined));
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
    if (grant.reclaim) return this.#return(row, grant, from, now);
    row.share.accept({
      id: grant.id,
      lender: from.instance,
      incarnation: from.incarnation,
      tokensOnly: grant.tokensOnly,
      amount: grant.amount,
      end,
    }, { tokens: grant.tokens, now });
    this.#deps.onGrown?.(row.account, now);
  }

  /** A loan that ended by itself would take its tokens with it. */
  #return(row: RateRow, grant: BudgetGrant, from: Party, now: number): void {
    const loan = row.share.book.borrowedLoans(now).find((l) =>
      l.id === grant.id && l.lender === from.instance &&
      l.incarnation === from.incarnation
    );
    if (loan === undefined) return;
    const by = Math.min(loan.amount, row.share.returnable(now));
    if (by > 0) row.share.giveBack(loan, by, now);
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
    if (row === undefined) return { fraction: 0, room: 0, tokens: 0 };
    this.#refresh(row, now);
    const { usable: fraction, room } = row.share;
    return { fraction, room, tokens: row.share.tokens(now) };
  }

  /** What is known of the account here, as the policy wants it. */
  state(row: RateRow, now: number): RateState {
    const { waiting, pool, askedAt } = row;
    const keeper = pool !== "none" &&
      row.keeper === this.#deps.self.instance;
    const { seats } = this.#deps.shares.size;
    const others = [...row.peerDemand.values()]
      .filter(({ at }) => now - at < DEMAND_FRESH_MS)
      .map(({ demand }) => demand);
    return { waiting, now, pool, keeper, askedAt, seats, others };
  }

  /** The fraction that is missing here at present. */
  want(row: RateRow, now: number): number {
    return wantOf(row.share, this.state(row, now));
  }

  /** Whole tokens that are missing here at present. */
  tokensWanted(row: RateRow, now: number): number {
    return tokensWanted(row.share, this.state(row, now));
  }

  /** Whom to ask for tokens, nearest first, where tokens may be. */
  tokenLenders(row: RateRow): BudgetPeer[][] {
    const { self } = this.#deps;
    const peers = this.#deps.peers();
    const groups = startingWith(row.keeper, byNearness(self, peers));
    if (row.pool !== "zone") return groups;
    const zones = new Set(peers.map((p) => p.zone));
    const keepers = new Set([...zones].map((zone) => {
      const members = [...peers, self].filter((p) => p.zone === zone);
      return ownerOf(row.account, members.map((p) => p.instance));
    }));
    return groups.map((g) => g.filter((p) => keepers.has(p.instance)))
      .filter((group) => group.length > 0);
  }

  /** Every member works out the same keeper from the members alone. */
  #chooseKeeper(row: RateRow, peers: readonly BudgetPeer[]): void {
    const { self, shares } = this.#deps;
    row.pool = poolFor(row.share.total.burst, shares.size);
    if (row.pool === "none") {
      row.keeper = undefined;
      return;
    }
    const members = row.pool === "fleet"
      ? peers
      : peers.filter((p) => p.zone === self.zone);
    const names = [self, ...members].map((p) => p.instance);
    row.keeper = ownerOf(row.account, names);
  }

  #idle(row: RateRow, now: number): boolean {
    const usedAt = Math.max(row.share.demand.lastAt, row.askedAt);
    return row.waiting === 0 && row.share.book.empty &&
      now - usedAt > IDLE_AFTER_MS;
  }

  #ownAt(now: number): Entitlement {
    const holdMs = Math.max(0, lenderSpan(LEASE_MS) - this.#deps.restMs());
    const own = this.#deps.shares.fraction(now, holdMs);
    if (now >= this.#own.until) this.#lapses += 1;
    this.#own = own;
    return own;
  }

  #refresh(row: RateRow, now: number): void {
    row.share.refresh(this.#ownAt(now), now, this.#lapses);
  }

  #refreshAll(now: number): void {
    const own = this.#ownAt(now);
    this.#everywhere = own.amount;
    for (const row of this.#rows.values()) {
      row.share.refresh(own, now, this.#lapses);
    }
  }

  /** The farthest loans go back first: a zone-mate stays in reach in a cut. */
  #giveBack(row: RateRow, now: number): void {
    const { share } = row;
    const borrowed = share.book.borrowedLoans(now);
    if (row.waiting === 0) {
      for (const loan of borrowed.filter((l) => l.tokensOnly)) {
        share.giveBack(loan, loan.amount, now);
      }
    }
    let surplus = surplusOf(share, this.state(row, now));
    if (surplus <= 0) return;
    const mates = new Set(
      byNearness(this.#deps.self, this.#deps.peers())[0]
        ?.map((p) => p.instance),
    );
    const loans = borrowed.filter((l) => !l.tokensOnly).sort((a, b) =>
      Number(mates.has(a.lender)) - Number(mates.has(b.lender))
    );
    for (const loan of loans) {
      if (surplus <= ROUNDING) return;
      const by = Math.min(loan.amount, surplus);
      share.giveBack(loan, by, now);
      surplus -= by;
    }
  }

  #planAsks(row: RateRow, groups: BudgetPeer[][], now: number): void {
    const want = this.want(row, now);
    row.missedTicks = want > 0 ? row.missedTicks + 1 : 0;
    if (want === 0) return;
    const nearest = startingWith(row.keeper, groups);
    const zoneOnly = row.pool === "zone" && this.state(row, now).keeper &&
      row.waiting === 0;
    const peers = row.missedTicks === 1 || zoneOnly
      ? nearest[0] ?? []
      : groups.flat();
    const wanted = askEach(want, peers.length);
    for (const { instance } of peers) {
      const asks = this.#plan.get(instance) ?? new Map();
      asks.set(row, { wanted, tokens: 0 });
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
    if (loan.amount < amount || loan.amount === 0) return [];
    if (!held.renew || loan.tokensOnly) return [];
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
    const short = needOf(share, this.state(row, now)) - share.usable;
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
    const spare = tokensToSpare(row.share, this.state(row, now));
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
    const spare = spareOf(share, this.state(row, now));
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
      kind: this.kind,
      key: row.account,
      id: loan.id,
      amount: loan.amount,
      tokensOnly: loan.tokensOnly,
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
    askedAt: -Infinity,
    pool: "none",
    keeper: undefined,
    peerDemand: new Map(),
  };
}

function demandOf(row: RateRow): number {
  return row.share.demand.perS / row.share.total.ratePerS;
}
