/**
 * Endpoint slots at one instance, as a lender and as a borrower.
 *
 * Answers the load where one instance of a zone has requests waiting while
 * another has free slots. Slots are whole and are lent within a zone only. A
 * request may run until its deadline even if the lease expires, so a slot
 * counts as lent until its borrower reports it free or until the deadline of
 * every request that could have started under the lease has passed. If it were
 * reclaimed with the lease, an endpoint would run more requests than it has
 * slots, which shows in the endpoint's own count.
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
  InstanceIncarnation,
  LenderAnswer,
} from "./budget_table.ts";
import { needsReport, toHeldLoan } from "./held_loan.ts";
import { invariant } from "./invariant.ts";
import { LEASE_MS, lenderLeaseMs, maxLeaseWithin } from "./lease.ts";
import type { LentLoan } from "./loan_book.ts";
import type { SeatShares } from "./seat_shares.ts";
import { maxRequestMs, newSlotRow, type SlotRow } from "./slot_row.ts";

/** Dependencies of the slot budgets. */
export interface SlotBudgetsDeps {
  readonly self: BudgetPeer & InstanceIncarnation;
  readonly shares: SeatShares;
  readonly peers: () => readonly BudgetPeer[];
  /** Minimum time, in milliseconds, that a seat is unused between holders. */
  readonly seatVacancyMs: () => number;
  /** This instance's current number of requests in flight at an endpoint. */
  readonly inFlight: (endpoint: EndpointId) => number;
}

/** Time past its deadline after which a request in flight is abandoned. */
const ABANDON_AFTER_MS = 500;
const MIN_LEASE_MS = 100;
/** Slots a lender keeps, so that its next request has one in a partition too. */
const RESERVED_SLOTS = 1;
/** Factor by which the peak decays per tick: a memory of one to two seconds. */
const PEAK_DECAY = 0.9;

/** Endpoint slots, updated once per tick. */
export class SlotBudgets implements BudgetTable {
  readonly kind = BudgetKind.SLOTS;
  readonly #deps: SlotBudgetsDeps;
  readonly #rows = new Map<EndpointId, SlotRow>();
  readonly #plan = new Map<string, Map<SlotRow, number>>();
  #maxRequestMs = 0;
  #loanId = 0;
  #lending = true;

  constructor(deps: SlotBudgetsDeps) {
    this.#deps = deps;
  }

  /** Applies the endpoints of this zone from a newly accepted document. */
  adopt(document: SteeringDocument): void {
    const services = Object.values(document.services);
    // A lowered deadline does not shorten requests in flight.
    this.#maxRequestMs = Math.max(
      this.#maxRequestMs,
      ...services.map(maxRequestMs),
    );
    const configured = new Set<string>();
    for (const service of services) {
      for (const [id, entry] of Object.entries(service.endpoints)) {
        if (entry.zone !== this.#deps.self.zone) continue;
        configured.add(id);
        this.#adoptEndpoint(id as EndpointId, entry.slots);
      }
    }
    for (const [id, row] of this.#rows) {
      if (!configured.has(id)) row.slots = 0;
    }
  }

  /** How many requests this instance may have in flight at the endpoint. */
  limit(endpoint: EndpointId, now: number): number {
    const row = this.#rows.get(endpoint);
    return row === undefined ? 0 : this.#limit(row, now);
  }

  /** Records how many more slots are wanted. */
  setWanted(endpoint: EndpointId, wanted: number): void {
    const row = this.#rows.get(endpoint);
    if (row !== undefined) row.wanted = wanted;
  }

  stopLending(): void {
    this.#lending = false;
  }

  hasLentLoans(now: number): boolean {
    return [...this.#rows.values()].some((row) => row.book.lentTotal(now) > 0);
  }

  /** Returns free borrowed slots and plans requests; called once per tick. */
  run(now: number): void {
    this.#plan.clear();
    const zonePeers = this.#deps.peers()
      .filter((p) => p.zone === this.#deps.self.zone);
    for (const row of this.#rows.values()) {
      const inFlight = this.#deps.inFlight(row.endpoint);
      row.peak = Math.max(inFlight, row.peak * PEAK_DECAY);
      this.#returnSurplus(row, inFlight, now);
      this.#planAsks(row, zonePeers, now);
    }
  }

  dueAsks(lender: string, now: number): BudgetAsk[] {
    const planned = this.#plan.get(lender);
    this.#plan.delete(lender);
    const asks: BudgetAsk[] = [];
    for (const row of this.#rows.values()) {
      const wanted = planned?.get(row) ?? 0;
      const held = row.book.loansToReport(lender, now)
        .filter((loan) => needsReport(loan, now))
        .map((loan) => toHeldLoan(loan, now));
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

  answer(ask: BudgetAsk, from: InstanceIncarnation, now: number): LenderAnswer {
    const row = this.#rows.get(ask.key as EndpointId);
    if (row === undefined) return { grants: [] };
    const grants = ask.held.flatMap((h) => this.#report(row, h, from, now));
    const loan = this.#lend(row, ask, from, now);
    if (loan !== undefined) grants.push(loan);
    return { grants };
  }

  accept(
    grant: BudgetGrant,
    from: InstanceIncarnation,
    end: number,
    now: number,
  ): void {
    const row = this.#rows.get(grant.key as EndpointId);
    if (row === undefined) return;
    const { id, amount } = grant;
    const { instance: lender, incarnation } = from;
    const tokensOnly = false;
    row.book.accept({ id, lender, incarnation, tokensOnly, amount, end }, now);
  }

  recordDemand(): void {}

  #adoptEndpoint(endpoint: EndpointId, slots: number): void {
    const known = this.#rows.get(endpoint);
    if (known !== undefined) {
      known.slots = slots;
      return;
    }
    this.#rows.set(endpoint, newSlotRow(endpoint, slots, this.holdMs()));
  }

  /** How long requests and loans of a seat's former holder may last. */
  holdMs(): number {
    return lenderLeaseMs(LEASE_MS + this.#maxRequestMs + ABANDON_AFTER_MS);
  }

  /** Whether the slots of every seat held by this instance may be used. */
  settled(now: number): boolean {
    return this.#deps.shares.settled(now, this.#seatHoldMs());
  }

  /** How long a seat's slots stay on hold after the seat has changed holder. */
  #seatHoldMs(): number {
    return Math.max(0, this.holdMs() - this.#deps.seatVacancyMs());
  }

  #limit(row: SlotRow, now: number): number {
    const own = this.#deps.shares.units(row.slots, {
      zone: this.#deps.self.zone as ZoneId,
      now,
      holdMs: this.#seatHoldMs(),
    });
    row.own = own.amount;
    row.ownUntil = own.until;
    const spare = Math.max(0, row.own - row.book.lentTotal(now));
    const limit = spare + row.book.borrowedTotal(now);
    invariant(Number.isInteger(limit), `${row.endpoint}: ${limit} slots`);
    return limit;
  }

  /** Returns expired and free borrowed slots; the limit falls before the report. */
  #returnSurplus(row: SlotRow, inFlight: number, now: number): void {
    const limit = this.#limit(row, now);
    if (inFlight <= limit) {
      for (const loan of row.book.expiredLoans(now)) {
        row.book.reduceBorrowed(loan, { by: loan.amount, tokens: 0, now });
      }
    }
    if (row.wanted > 0) return;
    let free = limit - Math.ceil(Math.max(inFlight, row.peak));
    for (const loan of row.book.borrowedLoans(now)) {
      if (free <= 0) return;
      const by = Math.min(loan.amount, free);
      row.book.reduceBorrowed(loan, { by, tokens: 0, now });
      free -= by;
    }
  }

  #planAsks(row: SlotRow, zonePeers: BudgetPeer[], now: number): void {
    const missing = this.#missingSlots(row, now);
    if (missing === 0 || zonePeers.length === 0) return;
    const wanted = Math.ceil(missing / zonePeers.length);
    for (const { instance } of zonePeers) {
      const asks = this.#plan.get(instance) ?? new Map();
      asks.set(row, wanted);
      this.#plan.set(instance, asks);
    }
  }

  /** Slots lacking here when all are in use: the wanted ones, or at least one. */
  #missingSlots(row: SlotRow, now: number): number {
    const limit = this.#limit(row, now);
    const full = this.#deps.inFlight(row.endpoint) >= limit;
    if (!full || row.slots === 0) return 0;
    const most = row.slots - limit;
    return Math.max(0, Math.min(most, Math.max(row.wanted, 1)));
  }

  #report(
    row: SlotRow,
    held: HeldLoan,
    from: InstanceIncarnation,
    now: number,
  ): BudgetGrant[] {
    if (held.lenderIncarnation !== this.#deps.self.incarnation) return [];
    const loan = row.book.lentLoan(held.id, now);
    if (loan === undefined || loan.borrower !== from.instance) return [];
    row.book.reduceLent(loan, held.amount, now);
    if (loan.amount < held.amount || loan.amount === 0) return [];
    if (!held.renew || !this.#lending) return [];
    if (this.#shouldReclaim(row, loan, now)) return [];
    const leaseMs = maxLeaseWithin(row.ownUntil - now);
    if (leaseMs < MIN_LEASE_MS) return [];
    row.book.extend(loan, this.#lentLoanEnd(leaseMs, now));
    return [this.#grant(row, loan, leaseMs)];
  }

  /** Reclaims a loan if this lender lacks slots or has lent more than it owns. */
  #shouldReclaim(row: SlotRow, loan: LentLoan, now: number): boolean {
    const returning = row.book.lentLoans(now)
      .filter((l) => l.reclaimed)
      .reduce((sum, l) => sum + l.amount, 0);
    const short = row.wanted > 0 ? this.#missingSlots(row, now) : 0;
    if (short > returning || row.own < row.book.lentTotal(now)) {
      loan.reclaimed = true;
    }
    return loan.reclaimed;
  }

  #lend(
    row: SlotRow,
    ask: BudgetAsk,
    from: InstanceIncarnation,
    now: number,
  ): BudgetGrant | undefined {
    if (!this.#lending) return undefined;
    const limit = this.#limit(row, now);
    const used = Math.max(this.#deps.inFlight(row.endpoint), row.peak);
    const spare = limit - Math.ceil(used) - row.wanted - RESERVED_SLOTS;
    const own = row.own - row.book.lentTotal(now);
    const amount = Math.floor(Math.min(ask.wanted, spare, own));
    const leaseMs = maxLeaseWithin(row.ownUntil - now);
    if (!(amount >= 1) || leaseMs < MIN_LEASE_MS) return undefined;
    const loan = row.book.lend({
      id: ++this.#loanId,
      borrower: from.instance,
      tokensOnly: false,
      amount,
      end: this.#lentLoanEnd(leaseMs, now),
    }, now);
    invariant(
      row.book.lentTotal(now) <= row.own,
      `${row.endpoint}: lends more than its own slots`,
    );
    return this.#grant(row, loan, leaseMs);
  }

  #lentLoanEnd(leaseMs: number, now: number): number {
    return now + lenderLeaseMs(leaseMs + this.#maxRequestMs + ABANDON_AFTER_MS);
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
