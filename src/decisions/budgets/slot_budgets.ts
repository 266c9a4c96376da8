/**
 * The table of endpoints' slots at one instance, and its side of lending.
 *
 * Answers the load where one instance of a zone has requests waiting while its
 * neighbour has slots free. Slots are whole and are lent inside a zone only.
 * A request may run until its deadline, whatever becomes of the lease, so a
 * slot counts as lent until its borrower says that it is free or until every
 * deadline that could have begun under the lease has passed. Were it taken
 * back with the lease, an endpoint would run more requests than it has slots,
 * which shows in its own count.
 *
 * @module
 */
import { create } from "@bufbuild/protobuf";
import type { EndpointId, ZoneId } from "../../core/mod.ts";
import type { SteeringDocument } from "../../document/mod.ts";
import {
  type BudgetAsk,
  BudgetAskSchema,
  type BudgetGrant,
  BudgetGrantSchema,
  BudgetKind,
  type HeldLoan,
} from "../../gen/budget_pb.ts";
import type {
  BudgetPeer,
  BudgetTable,
  LenderAnswer,
  Party,
} from "./budget_table.ts";
import { isDue, toHeld } from "./held_loan.ts";
import { invariant } from "./invariant.ts";
import { LEASE_MS, leaseWithin, lenderSpan } from "./lease.ts";
import type { LentLoan } from "./loan_book.ts";
import type { SeatShares } from "./seat_shares.ts";
import { longestMs, newSlotRow, type SlotRow } from "./slot_row.ts";

/** What a table of slots needs. */
export interface SlotBudgetsDeps {
  readonly self: BudgetPeer & Party;
  readonly shares: SeatShares;
  readonly peers: () => readonly BudgetPeer[];
  /** How long a seat has surely not been used when it changes hands. */
  readonly restMs: () => number;
  /** Requests in flight at an endpoint from here, at this very moment. */
  readonly inFlight: (endpoint: EndpointId) => number;
}

/** Past its deadline a request may be in flight this long: it is abandoned. */
const ABANDON_MS = 500;
const SHORTEST_LEASE_MS = 100;
/** Kept by a lender, so that its next request finds a slot even in a cut. */
const RESERVE = 1;
/** What is left of the peak after a tick: a second or two of memory. */
const PEAK_FADE = 0.9;

/** Endpoints' slots, as a table that systems run over each tick. */
export class SlotBudgets implements BudgetTable {
  readonly kind = BudgetKind.SLOTS;
  readonly #deps: SlotBudgetsDeps;
  readonly #rows = new Map<EndpointId, SlotRow>();
  readonly #plan = new Map<string, Map<SlotRow, number>>();
  #longestMs = 0;
  #loanId = 0;
  #lending = true;

  constructor(deps: SlotBudgetsDeps) {
    this.#deps = deps;
  }

  /** Takes over the own zone's endpoints of a newly accepted document. */
  adopt(document: SteeringDocument): void {
    const services = Object.values(document.services);
    // A lowered deadline does not shorten requests that run already.
    this.#longestMs = Math.max(this.#longestMs, ...services.map(longestMs));
    const named = new Set<string>();
    for (const service of services) {
      for (const [id, entry] of Object.entries(service.endpoints)) {
        if (entry.zone !== this.#deps.self.zone) continue;
        named.add(id);
        this.#adoptEndpoint(id as EndpointId, entry.slots);
      }
    }
    for (const [id, row] of this.#rows) {
      if (!named.has(id)) row.slots = 0;
    }
  }

  /** Requests that may be in flight at the endpoint from here. */
  limit(endpoint: EndpointId, now: number): number {
    const row = this.#rows.get(endpoint);
    return row === undefined ? 0 : this.#limit(row, now);
  }

  /** Takes in how many more slots are wanted. */
  want(endpoint: EndpointId, wanted: number): void {
    const row = this.#rows.get(endpoint);
    if (row !== undefined) row.wanted = wanted;
  }

  stopLending(): void {
    this.#lending = false;
  }

  lends(now: number): boolean {
    return [...this.#rows.values()].some((row) => row.book.lentTotal(now) > 0);
  }

  /** Gives back what is free and plans what to ask; once a tick. */
  run(now: number): void {
    this.#plan.clear();
    const mates = this.#deps.peers()
      .filter((p) => p.zone === this.#deps.self.zone);
    for (const row of this.#rows.values()) {
      const inFlight = this.#deps.inFlight(row.endpoint);
      row.peak = Math.max(inFlight, row.peak * PEAK_FADE);
      this.#giveBack(row, inFlight, now);
      this.#planAsks(row, mates, now);
    }
  }

  asksTo(lender: string, now: number): BudgetAsk[] {
    const planned = this.#plan.get(lender);
    this.#plan.delete(lender);
    const asks: BudgetAsk[] = [];
    for (const row of this.#rows.values()) {
      const wanted = planned?.get(row) ?? 0;
      const held = row.book.toldTo(lender, now)
        .filter((loan) => isDue(loan, now))
        .map((loan) => toHeld(loan, now));
      if (wanted === 0 && held.length === 0) continue;
      const key = row.endpoint;
      asks.push(create(BudgetAskSchema, {
        kind: this.kind,
        key,
        wanted,
        held,
      }));
    }
    return asks;
  }

  answer(ask: BudgetAsk, from: Party, now: number): LenderAnswer {
    const row = this.#rows.get(ask.key as EndpointId);
    if (row === undefined) return { grants: [] };
    const grants = ask.held.flatMap((h) => this.#report(row, h, from, now));
    const loan = this.#lend(row, ask, from, now);
    if (loan !== undefined) grants.push(loan);
    return { grants };
  }

  accept(grant: BudgetGrant, from: Party, end: number, now: number): void {
    const row = this.#rows.get(grant.key as EndpointId);
    if (row === undefined) return;
    const { id, amount } = grant;
    const { instance: lender, incarnation } = from;
    const tokensOnly = false;
    row.book.accept({ id, lender, incarnation, tokensOnly, amount, end }, now);
  }

  learn(): void {}

  #adoptEndpoint(endpoint: EndpointId, slots: number): void {
    const known = this.#rows.get(endpoint);
    if (known !== undefined) {
      known.slots = slots;
      return;
    }
    this.#rows.set(endpoint, newSlotRow(endpoint, slots, this.holdMs()));
  }

  /** How long requests of a former holder may run on, from its last start. */
  holdMs(): number {
    return lenderSpan(LEASE_MS + this.#longestMs + ABANDON_MS);
  }

  /** Whether the slots of every seat held here are in use. */
  settled(now: number): boolean {
    return this.#deps.shares.settled(now, this.#restingMs());
  }

  /** How long a seat's slots still rest once the seat has changed hands. */
  #restingMs(): number {
    return Math.max(0, this.holdMs() - this.#deps.restMs());
  }

  #limit(row: SlotRow, now: number): number {
    const own = this.#deps.shares.units(row.slots, {
      zone: this.#deps.self.zone as ZoneId,
      now,
      holdMs: this.#restingMs(),
    });
    row.own = own.amount;
    row.ownUntil = own.until;
    const spare = Math.max(0, row.own - row.book.lentTotal(now));
    const limit = spare + row.book.borrowedTotal(now);
    invariant(Number.isInteger(limit), `${row.endpoint}: ${limit} slots`);
    return limit;
  }

  /** Slots that this instance does without: lowers first, then says so. */
  #giveBack(row: SlotRow, inFlight: number, now: number): void {
    const limit = this.#limit(row, now);
    if (inFlight <= limit) {
      for (const loan of row.book.endedLoans(now)) {
        row.book.lower(loan, { by: loan.amount, tokens: 0, now });
      }
    }
    if (row.wanted > 0) return;
    let free = limit - Math.ceil(Math.max(inFlight, row.peak));
    for (const loan of row.book.borrowedLoans(now)) {
      if (free <= 0) return;
      const by = Math.min(loan.amount, free);
      row.book.lower(loan, { by, tokens: 0, now });
      free -= by;
    }
  }

  #planAsks(row: SlotRow, mates: BudgetPeer[], now: number): void {
    const want = this.#shortOf(row, now);
    if (want === 0 || mates.length === 0) return;
    const wanted = Math.ceil(want / mates.length);
    for (const { instance } of mates) {
      const asks = this.#plan.get(instance) ?? new Map();
      asks.set(row, wanted);
      this.#plan.set(instance, asks);
    }
  }

  /** Slots missing here: those waited for, or one more when all are in use. */
  #shortOf(row: SlotRow, now: number): number {
    const limit = this.#limit(row, now);
    const full = this.#deps.inFlight(row.endpoint) >= limit;
    if (!full || row.slots === 0) return 0;
    const most = row.slots - limit;
    return Math.max(0, Math.min(most, Math.max(row.wanted, 1)));
  }

  #report(
    row: SlotRow,
    held: HeldLoan,
    from: Party,
    now: number,
  ): BudgetGrant[] {
    if (held.lenderIncarnation !== this.#deps.self.incarnation) return [];
    const loan = row.book.lent(held.id, now);
    if (loan === undefined || loan.borrower !== from.instance) return [];
    row.book.returned(loan, held.amount, now);
    if (loan.amount < held.amount || loan.amount === 0) return [];
    if (!held.renew || !this.#lending) return [];
    if (this.#reclaims(row, loan, now)) return [];
    const leaseMs = leaseWithin(row.ownUntil - now);
    if (leaseMs < SHORTEST_LEASE_MS) return [];
    row.book.prolong(loan, this.#lentUntil(leaseMs, now));
    return [this.#grant(row, loan, leaseMs)];
  }

  /** A lender that is short itself lets a loan end. */
  #reclaims(row: SlotRow, loan: LentLoan, now: number): boolean {
    const coming = row.book.lentLoans(now)
      .filter((l) => l.reclaimed)
      .reduce((sum, l) => sum + l.amount, 0);
    const short = row.wanted > 0 ? this.#shortOf(row, now) : 0;
    if (short > coming || row.own < row.book.lentTotal(now)) {
      loan.reclaimed = true;
    }
    return loan.reclaimed;
  }

  #lend(
    row: SlotRow,
    ask: BudgetAsk,
    from: Party,
    now: number,
  ): BudgetGrant | undefined {
    if (!this.#lending) return undefined;
    const limit = this.#limit(row, now);
    const used = Math.max(this.#deps.inFlight(row.endpoint), row.peak);
    const spare = limit - Math.ceil(used) - row.wanted - RESERVE;
    const own = row.own - row.book.lentTotal(now);
    const amount = Math.floor(Math.min(ask.wanted, spare, own));
    const leaseMs = leaseWithin(row.ownUntil - now);
    if (!(amount >= 1) || leaseMs < SHORTEST_LEASE_MS) return undefined;
    const loan = row.book.lend({
      id: ++this.#loanId,
      borrower: from.instance,
      tokensOnly: false,
      amount,
      end: this.#lentUntil(leaseMs, now),
    }, now);
    invariant(
      row.book.lentTotal(now) <= row.own,
      `${row.endpoint}: lends more than its own`,
    );
    return this.#grant(row, loan, leaseMs);
  }

  #lentUntil(leaseMs: number, now: number): number {
    return now + lenderSpan(leaseMs + this.#longestMs + ABANDON_MS);
  }

  #grant(
    row: SlotRow,
    loan: Pick<LentLoan, "id" | "amount">,
    leaseMs: number,
  ): BudgetGrant {
    const { id, amount } = loan;
    const key = row.endpoint;
    const kind = this.kind;
    return create(BudgetGrantSchema, { kind, key, id, amount, leaseMs });
  }
}
