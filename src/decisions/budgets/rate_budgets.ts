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
  BudgetKind,
} from "../../gen/budget_pb.ts";
import type { BucketSize } from "../limits/token_bucket.ts";
import { askEach, byNearness, startingWith } from "./ask_plan.ts";
import type {
  BudgetPeer,
  BudgetTable,
  LenderAnswer,
  Party,
} from "./budget_table.ts";
import { isDue, toHeld } from "./held_loan.ts";
import { LEASE_MS, lenderSpan } from "./lease.ts";
import {
  IDLE_AFTER_MS,
  poolFor,
  type RateState,
  tokensWanted,
  wantOf,
} from "./rate_policy.ts";
import { giveBackSurplus } from "./give_back.ts";
import { keeperOf, tokenLenders } from "./keeper.ts";
import { RateLender } from "./rate_lender.ts";
import { demandOf, newRow, peerDemands, type RateRow } from "./rate_row.ts";
import type { Entitlement, SeatShares } from "./seat_shares.ts";

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
  /** Told when an account's parts pass the whole; else it is an error. */
  readonly onUnaccounted?: (account: AccountId, what: string) => void;
}

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
  readonly #lender: RateLender;
  readonly #plan = new Map<string, Map<RateRow, PlannedAsk>>();
  #own: Entitlement = { amount: 0, until: 0 };
  /** How often the own part ended before it was renewed. */
  #lapses = 0;
  /** The own part that rows out of use may still count with. */
  #everywhere = Infinity;

  constructor(deps: RateBudgetsDeps) {
    this.#deps = deps;
    this.#lender = new RateLender({
      incarnation: deps.self.incarnation,
      state: (row, now) => this.state(row, now),
    });
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
      else this.#rows.set(account, this.#newRow(account, total, now));
    }
    this.#refreshAll(now);
  }

  #newRow(account: AccountId, total: BucketSize, now: number): RateRow {
    const { onUnaccounted } = this.#deps;
    if (onUnaccounted === undefined) return newRow(account, total, now);
    return newRow(account, total, now, (what) => onUnaccounted(account, what));
  }

  /** The account's row, brought to `now`; undefined without a rate. */
  open(account: AccountId, now: number): RateRow | undefined {
    const row = this.#rows.get(account);
    if (row === undefined) return undefined;
    this.#refresh(row, now);
    this.#active.add(row);
    return row;
  }

  stopLending(): void {
    this.#lender.close();
  }

  lends(now: number): boolean {
    return [...this.#rows.values()].some(({ share }) =>
      share.book.lentTotal(now) > 0
    );
  }

  /** Gives back what is not needed and plans what to ask; once a tick. */
  run(now: number): void {
    if (this.#ownAt(now).amount < this.#everywhere) this.#refreshAll(now);
    this.#plan.clear();
    const peers = this.#deps.peers();
    const { self } = this.#deps;
    const groups = byNearness(self, peers);
    const mates = new Set(
      peers.filter((p) => p.zone === self.zone).map((p) => p.instance),
    );
    for (const row of this.#active) {
      this.#refresh(row, now);
      row.share.demand.roll(now);
      row.pool = poolFor(row.share.total.burst, this.#deps.shares.size);
      row.keeper = keeperOf(row, this.#deps.self, peers);
      giveBackSurplus(row, this.state(row, now), mates);
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
      this.#lender.report(row, held, from, now)
    );
    if (!(ask.wanted > 0 || ask.tokens > 0)) return { grants };
    row.askedAt = now;
    grants.push(...this.#lender.lend(row, ask, from, now));
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
    return peerDemands(row, now).reduce((n, d) => n + d, demandOf(row));
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
    const others = peerDemands(row, now);
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
    return tokenLenders(row, this.#deps.self, this.#deps.peers());
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
}
