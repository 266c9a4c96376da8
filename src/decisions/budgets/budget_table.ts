/**
 * The interface between one kind of budget and the exchange with peers.
 *
 * @module
 */
import type {
  BudgetAsk,
  BudgetDemand,
  BudgetGrant,
  BudgetKind,
} from "../../gen/budget_pb.ts";

/** An instance and its location. */
export interface BudgetPeer {
  readonly instance: string;
  readonly zone: string;
  readonly region: string;
}

/** An instance and its incarnation, as the sender of a message. */
export interface InstanceIncarnation {
  readonly instance: string;
  readonly incarnation: string;
}

/** A lender's answer to one borrow request. */
export interface LenderAnswer {
  readonly grants: BudgetGrant[];
  readonly demand?: BudgetDemand;
}

/** Budgets of one kind, by key. */
export interface BudgetTable {
  readonly kind: BudgetKind;
  /** Requests and loan reports due for a lender; planned ones appear once. */
  dueAsks(lender: string, now: number): BudgetAsk[];
  /** Lends, renews and takes back loans as a borrower's request says. */
  answer(ask: BudgetAsk, from: InstanceIncarnation, now: number): LenderAnswer;
  /** Records a grant that expires at `end` on this instance's clock. */
  accept(
    grant: BudgetGrant,
    from: InstanceIncarnation,
    end: number,
    now: number,
  ): void;
  /** Makes no new loans and renews none from now on. */
  stopLending(): void;
  /** Whether another instance may still be using a loan from this one. */
  hasLentLoans(now: number): boolean;
  /** Records another instance's demand. */
  recordDemand(
    demand: BudgetDemand,
    from: InstanceIncarnation,
    now: number,
  ): void;
}
