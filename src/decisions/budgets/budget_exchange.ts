/**
 * What instances say to each other of budgets: stamps, questions, grants.
 *
 * @module
 */
import { create } from "@bufbuild/protobuf";
import type { Clock } from "../../core/mod.ts";
import {
  type BorrowAnswer,
  BorrowAnswerSchema,
  type BorrowCall,
  BorrowCallSchema,
  type BudgetAsk,
  type BudgetDemand,
  type BudgetGrant,
  type BudgetPart,
  BudgetPartSchema,
} from "../../gen/budget_pb.ts";
import type { BudgetTable, Party } from "./budget_table.ts";
import type { SeatShares } from "./seat_shares.ts";

/** What an exchange of budgets needs. */
export interface BudgetExchangeDeps {
  readonly self: Party;
  readonly clock: Clock;
  readonly shares: Pick<SeatShares, "hear" | "settledGeneration">;
}

/** What a peer was last told of the division in use, and when. */
interface ToldDivision {
  readonly generation: number;
  readonly at: number;
}

/** How often a peer is told again, in milliseconds, since messages get lost. */
const TELL_AGAIN_MS = 1_000;

/** What waits to be sent to one peer. */
interface Outbox {
  readonly incarnation: string;
  /** The oldest stamp that one of these grants answers. */
  stamp: number;
  readonly grants: BudgetGrant[];
  readonly demands: BudgetDemand[];
}

/** Speaks for all tables of budgets, in batches and in calls of its own. */
export class BudgetExchange {
  readonly #deps: BudgetExchangeDeps;
  readonly #tables = new Map<number, BudgetTable>();
  readonly #outboxes = new Map<string, Outbox>();
  readonly #incarnations = new Map<string, string>();
  readonly #told = new Map<string, ToldDivision>();

  constructor(deps: BudgetExchangeDeps) {
    this.#deps = deps;
  }

  /** Adds a table, which takes part from the next message on. */
  register(table: BudgetTable): void {
    this.#tables.set(table.kind, table);
  }

  /** Adds what there is to tell; nothing where there is nothing to say. */
  fill(batch: { budget?: BudgetPart }, to: string): void {
    const now = this.#deps.clock.now();
    const asks = [...this.#tables.values()].flatMap((t) => t.asksTo(to, now));
    const part = this.#part(to, asks, now);
    if (part !== undefined) batch.budget = part;
  }

  /** Takes in what another instance told in a batch. */
  absorb(batch: { budget?: BudgetPart }, from: Party): void {
    if (batch.budget !== undefined) this.#absorb(batch.budget, from);
  }

  /** A question to be sent at once. */
  call(to: string, ask: BudgetAsk): BorrowCall {
    const { instance, incarnation } = this.#deps.self;
    const part = this.#part(to, [ask], this.#deps.clock.now());
    return create(BorrowCallSchema, { instance, incarnation, part });
  }

  /** Answers a question that came outside a batch. */
  answer(call: BorrowCall): BorrowAnswer {
    const from = { instance: call.instance, incarnation: call.incarnation };
    if (call.part !== undefined) this.#absorb(call.part, from);
    const part = this.#part(call.instance, [], this.#deps.clock.now());
    const { incarnation } = this.#deps.self;
    return create(BorrowAnswerSchema, { incarnation, part });
  }

  /** Takes in the answer to a question of this instance. */
  answered({ part, incarnation }: BorrowAnswer, lender: string): void {
    if (part === undefined) return;
    this.#absorb(part, { instance: lender, incarnation });
  }

  #part(to: string, asks: BudgetAsk[], now: number): BudgetPart | undefined {
    const outbox = this.#outboxes.get(to);
    this.#outboxes.delete(to);
    const settledGeneration = this.#deps.shares.settledGeneration(now);
    const told = this.#told.get(to);
    const known = told !== undefined && told.generation === settledGeneration &&
      now - told.at < TELL_AGAIN_MS;
    if (asks.length === 0 && outbox === undefined && known) return undefined;
    this.#told.set(to, { generation: settledGeneration, at: now });
    return create(BudgetPartSchema, {
      stamp: now,
      echoStamp: outbox?.stamp ?? 0,
      echoIncarnation: outbox?.incarnation ?? "",
      asks,
      grants: outbox?.grants ?? [],
      demands: outbox?.demands ?? [],
      settledGeneration,
    });
  }

  #absorb(part: BudgetPart, from: Party): void {
    const now = this.#deps.clock.now();
    this.#deps.shares.hear(from.instance, part.settledGeneration);
    if (this.#incarnations.get(from.instance) !== from.incarnation) {
      this.#incarnations.set(from.instance, from.incarnation);
      this.#told.delete(from.instance);
    }
    this.#takeGrants(part, from, now);
    for (const demand of part.demands) {
      this.#tables.get(demand.kind)?.learn(demand, from, now);
    }
    for (const ask of part.asks) this.#answer(part, ask, from, now);
  }

  /** A stamp of an earlier life of this instance says nothing of its clock. */
  #takeGrants(part: BudgetPart, from: Party, now: number): void {
    if (part.echoIncarnation !== this.#deps.self.incarnation) return;
    for (const grant of part.grants) {
      const end = part.echoStamp + grant.leaseMs;
      this.#tables.get(grant.kind)?.accept(grant, from, end, now);
    }
  }

  #answer(part: BudgetPart, ask: BudgetAsk, from: Party, now: number): void {
    const answer = this.#tables.get(ask.kind)?.answer(ask, from, now);
    if (answer === undefined) return;
    if (answer.grants.length === 0 && answer.demand === undefined) return;
    const outbox = this.#outbox(from, part.stamp);
    outbox.grants.push(...answer.grants);
    if (answer.demand !== undefined) outbox.demands.push(answer.demand);
  }

  #outbox(to: Party, stamp: number): Outbox {
    const known = this.#outboxes.get(to.instance);
    if (known !== undefined && known.incarnation === to.incarnation) {
      known.stamp = Math.min(known.stamp, stamp);
      return known;
    }
    const { incarnation } = to;
    const outbox = { incarnation, stamp, grants: [], demands: [] };
    this.#outboxes.set(to.instance, outbox);
    return outbox;
  }
}
