/**
 * What one kind of budget offers to the exchange with other instances.
 *
 * @module
 */
import type {
  BudgetAsk,
  BudgetDemand,
  BudgetGrant,
  BudgetKind,
} from "../../gen/budget_pb.ts";

/** Another instance, and where it stands. */
export interface BudgetPeer {
  readonly instance: string;
  readonly zone: string;
  readonly region: string;
}

/** The one who speaks in a message: an instance and the life of it. */
export interface Party {
  readonly instance: string;
  readonly incarnation: string;
}

/** What a lender answers to one question. */
export interface LenderAnswer {
  readonly grants: BudgetGrant[];
  readonly demand?: BudgetDemand;
}

/** Budgets of one kind, by key. */
export interface BudgetTable {
  readonly kind: BudgetKind;
  /** Questions and reports due for one lender; each planned one goes once. */
  asksTo(lender: string, now: number): BudgetAsk[];
  /** Lends, prolongs and takes back as one borrower's question says. */
  answer(ask: BudgetAsk, from: Party, now: number): LenderAnswer;
  /** Takes in a grant that ends at `end` on this instance's clock. */
  accept(grant: BudgetGrant, from: Party, end: number, now: number): void;
  /** Lends and prolongs nothing from now on. */
  stopLending(): void;
  /** Whether another instance may be using what was lent from here. */
  lends(now: number): boolean;
  /** Takes in what another instance's callers ask for. */
  learn(demand: BudgetDemand, from: Party, now: number): void;
}
