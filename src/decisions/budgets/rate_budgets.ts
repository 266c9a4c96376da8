/**
 * Account rates at one instance, as a lender and as a borrower.
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
import { amountPerPeer, groupByProximity, withPeerFirst } from "./ask_plan.ts";
import type {
  BudgetPeer,
  BudgetTable,
  InstanceIncarnation,
  LenderAnswer,
} from "./budget_table.ts";
import { needsReport, toHeldLoan } from "./held_loan.ts";
import { LEASE_MS, lenderLeaseMs } from "./lease.ts";
import {
  IDLE_AFTER_MS,
  missingFraction,
  missingTokens,
  poolScopeFor,
  type RateState,
} from "./rate_policy.ts";
import { returnSurplus } from "./return_surplus.ts";
import { poolOwnerOf, tokenLenders } from "./pool_owner.ts";
import { RateLender } from "./rate_lender.ts";
import {
  demandFraction,
  newRateRow,
  peerDemands,
  type RateRow,
} from "./rate_row.ts";
import type { Entitlement, SeatShares } from "./seat_shares.ts";

/** An instance's share of an account's rate. */
export interface Spendable {
  /** Fraction of the rate. */
  readonly fraction: number;
  /** Fraction of the burst. */
  readonly room: number;
  readonly tokens: number;
}

/** Dependencies of the rate budgets. */
export interface RateBudgetsDeps {
  readonly self: BudgetPeer & InstanceIncarnation;
  readonly shares: SeatShares;
  /** Peers that are reachable at present. */
  readonly peers: () => readonly BudgetPeer[];
  /** Minimum time, in milliseconds, that a seat is unused between holders. */
  readonly seatVacancyMs: () => number;
  /** Called when an account's share has grown. */
  readonly onShareGrown?: (account: AccountId, now: number) => void;
  /** Called when a share exceeds the account's total; by default that throws. */
  readonly onOverallocated?: (account: AccountId, what: string) => void;
}

interface PlannedAsk {
  readonly wanted: number;
  readonly tokens: number;
}

/** Account rates, updated once per tick. */
export class RateBudgets implements BudgetTable {
  readonly kind = BudgetKind.RATE;
  readonly #deps: RateBudgetsDeps;
  readonly #rows = new Map<AccountId, RateRow>();
  readonly #active = new Set<RateRow>();
  readonly #lender: RateLender;
  readonly #plan = new Map<string, Map<RateRow, PlannedAsk>>();
  #own: Entitlement = { amount: 0, until: 0 };
  /** How often the own share expired before it was renewed. */
  #lapses = 0;
  /** The own share at the last refresh of all rows; inactive rows use it. */
  #idleAmount = Infinity;

  constructor(deps: RateBudgetsDeps) {
    this.#deps = deps;
    this.#lender = new RateLender({
      incarnation: deps.self.incarnation,
      state: (row, now) => this.state(row, now),
    });
  }

  /** Rows with recent demand, with loans, or with waiting requests. */
  get active(): ReadonlySet<RateRow> {
    return this.#active;
  }

  /** Applies the rates and bursts of a newly accepted document. */
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
      else this.#rows.set(account, this.#newRateRow(account, total, now));
    }
    this.#refreshAll(now);
  }

  #newRateRow(account: AccountId, total: BucketSize, now: number): RateRow {
    const { onOverallocated: notify } = this.#deps;
    if (notify === undefined) return newRateRow(account, total, now);
    return newRateRow(
      account,
      total,
      now,
      (what) => notify(account, what),
    );
  }

  /** Activates and refreshes the account's row; undefined without a rate. */
  activate(account: AccountId, now: number): RateRow | undefined {
    const row = this.#rows.get(account);
    if (row === undefined) return undefined;
    this.#refresh(row, now);
    this.#active.add(row);
    return row;
  }

  stopLending(): void {
    this.#lender.close();
  }

  hasLentLoans(now: number): boolean {
    return [...this.#rows.values()].some(({ share }) =>
      share.book.lentTotal(now) > 0
    );
  }

  /** Returns surplus loans and plans borrow requests; called once per tick. */
  run(now: number): void {
    if (this.#updateOwn(now).amount < this.#idleAmount) this.#refreshAll(now);
    this.#plan.clear();
    const peers = this.#deps.peers();
    const { self } = this.#deps;
    const groups = groupByProximity(self, peers);
    const zonePeers = new Set(
      peers.filter((p) => p.zone === self.zone).map((p) => p.instance),
    );
    for (const row of this.#active) {
      this.#refresh(row, now);
      row.share.demand.update(now);
      row.pool = poolScopeFor(row.share.total.burst, this.#deps.shares.size);
      row.poolOwner = poolOwnerOf(row, this.#deps.self, peers);
      returnSurplus(row, this.state(row, now), zonePeers);
      this.#planAsks(row, groups, now);
      if (this.#isIdle(row, now)) this.#active.delete(row);
    }
  }

  dueAsks(lender: string, now: number): BudgetAsk[] {
    const planned = this.#plan.get(lender);
    this.#plan.delete(lender);
    const asks: BudgetAsk[] = [];
    for (const row of this.#active) {
      const ask = this.#buildAsk(row, lender, planned?.get(row), now);
      if (ask.wanted > 0 || ask.held.length > 0) asks.push(ask);
    }
    return asks;
  }

  /** Builds a borrow request outside the plan, for waiting requests. */
  immediateAsk(row: RateRow, lender: string, { wanted, tokens, now }: {
    wanted: number;
    tokens: number;
    now: number;
  }): BudgetAsk {
    this.#refresh(row, now);
    const planned = { wanted, tokens };
    return this.#buildAsk(row, lender, planned, now);
  }

  answer(ask: BudgetAsk, from: InstanceIncarnation, now: number): LenderAnswer {
    const row = this.activate(ask.key as AccountId, now);
    if (row === undefined) return { grants: [] };
    row.peerDemand.set(from.instance, { demand: ask.demand, at: now });
    const grants = ask.held.flatMap((held) =>
      this.#lender.report(row, held, from, now)
    );
    if (!(ask.wanted > 0 || ask.tokens > 0)) return { grants };
    row.lastAskedAt = now;
    grants.push(...this.#lender.lend(row, ask, from, now));
    const demand = create(BudgetDemandSchema, {
      kind: this.kind,
      key: ask.key,
      demand: demandFraction(row),
    });
    return { grants, demand };
  }

  accept(
    grant: BudgetGrant,
    from: InstanceIncarnation,
    end: number,
    now: number,
  ): void {
    const row = this.activate(grant.key as AccountId, now);
    if (row === undefined) return;
    if (grant.reclaim) return this.#returnReclaimed(row, grant, from, now);
    row.share.accept({
      id: grant.id,
      lender: from.instance,
      incarnation: from.incarnation,
      tokensOnly: grant.tokensOnly,
      amount: grant.amount,
      end,
    }, { tokens: grant.tokens, now });
    this.#deps.onShareGrown?.(row.account, now);
  }

  /** Returns a reclaimed loan, whose tokens would be lost at its expiry. */
  #returnReclaimed(
    row: RateRow,
    grant: BudgetGrant,
    from: InstanceIncarnation,
    now: number,
  ): void {
    const loan = row.share.book.borrowedLoans(now).find((l) =>
      l.id === grant.id && l.lender === from.instance &&
      l.incarnation === from.incarnation
    );
    if (loan === undefined) return;
    const by = Math.min(loan.amount, row.share.returnable(now));
    if (by > 0) row.share.returnBorrowed(loan, by, now);
  }

  recordDemand(
    demand: BudgetDemand,
    from: InstanceIncarnation,
    now: number,
  ): void {
    const row = this.#rows.get(demand.key as AccountId);
    row?.peerDemand.set(from.instance, { demand: demand.demand, at: now });
  }

  /** The known demand of all instances, as a fraction of the rate. */
  fleetDemand(row: RateRow, now: number): number {
    return peerDemands(row, now).reduce((n, d) => n + d, demandFraction(row));
  }

  /** This instance's share of an account's rate, and the available tokens. */
  spendable(account: AccountId, now: number): Spendable {
    const row = this.#rows.get(account);
    if (row === undefined) return { fraction: 0, room: 0, tokens: 0 };
    this.#refresh(row, now);
    const { rateFraction, burstFraction } = row.share;
    return {
      fraction: rateFraction,
      room: burstFraction,
      tokens: row.share.tokens(now),
    };
  }

  /** The account's state at this instance, as input of the policy. */
  state(row: RateRow, now: number): RateState {
    const { waiting, pool, lastAskedAt } = row;
    const isPoolOwner = pool !== "none" &&
      row.poolOwner === this.#deps.self.instance;
    const { seats } = this.#deps.shares.size;
    const others = peerDemands(row, now);
    return {
      waiting,
      now,
      pool,
      isPoolOwner,
      lastAskedAt,
      seats,
      peerDemands: others,
    };
  }

  /** The fraction of the rate that this instance lacks. */
  missingFraction(row: RateRow, now: number): number {
    return missingFraction(row.share, this.state(row, now));
  }

  /** Whole tokens that this instance's waiting requests lack. */
  missingTokens(row: RateRow, now: number): number {
    return missingTokens(row.share, this.state(row, now));
  }

  /** Peers that may have tokens to lend, in groups, nearest first. */
  tokenLenders(row: RateRow): BudgetPeer[][] {
    return tokenLenders(row, this.#deps.self, this.#deps.peers());
  }

  #isIdle(row: RateRow, now: number): boolean {
    const usedAt = Math.max(row.share.demand.lastAttemptAt, row.lastAskedAt);
    return row.waiting === 0 && row.share.book.empty &&
      now - usedAt > IDLE_AFTER_MS;
  }

  #updateOwn(now: number): Entitlement {
    const holdMs = Math.max(
      0,
      lenderLeaseMs(LEASE_MS) - this.#deps.seatVacancyMs(),
    );
    const own = this.#deps.shares.fraction(now, holdMs);
    if (now >= this.#own.until) this.#lapses += 1;
    this.#own = own;
    return own;
  }

  #refresh(row: RateRow, now: number): void {
    row.share.refresh(this.#updateOwn(now), now, this.#lapses);
  }

  #refreshAll(now: number): void {
    const own = this.#updateOwn(now);
    this.#idleAmount = own.amount;
    for (const row of this.#rows.values()) {
      row.share.refresh(own, now, this.#lapses);
    }
  }

  #planAsks(row: RateRow, groups: BudgetPeer[][], now: number): void {
    const missing = this.missingFraction(row, now);
    row.shortTicks = missing > 0 ? row.shortTicks + 1 : 0;
    if (missing === 0) return;
    const nearest = withPeerFirst(row.poolOwner, groups);
    const zoneOnly = row.pool === "zone" && this.state(row, now).isPoolOwner &&
      row.waiting === 0;
    const peers = row.shortTicks === 1 || zoneOnly
      ? nearest[0] ?? []
      : groups.flat();
    const wanted = amountPerPeer(missing, peers.length);
    for (const { instance } of peers) {
      const asks = this.#plan.get(instance) ?? new Map();
      asks.set(row, { wanted, tokens: 0 });
      this.#plan.set(instance, asks);
    }
  }

  #buildAsk(
    row: RateRow,
    lender: string,
    planned: PlannedAsk | undefined,
    now: number,
  ): BudgetAsk {
    const held = row.share.book.loansToReport(lender, now)
      .filter((loan) => needsReport(loan, now))
      .map((loan) => toHeldLoan(loan, now));
    return create(BudgetAskSchema, {
      kind: this.kind,
      key: row.account,
      demand: demandFraction(row),
      wanted: planned?.wanted ?? 0,
      tokens: planned?.tokens ?? 0,
      held,
    });
  }
}
