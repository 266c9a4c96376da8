/**
 * The budget protocol between instances: clock stamps, borrow requests, grants.
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
import type { BudgetTable, InstanceIncarnation } from "./budget_table.ts";
import type { SeatShares } from "./seat_shares.ts";

/** Dependencies of a budget exchange. */
export interface BudgetExchangeDeps {
  readonly self: InstanceIncarnation;
  readonly clock: Clock;
  readonly shares: Pick<
    SeatShares,
    "recordSettledGeneration" | "settledGeneration"
  >;
}

/** The settled generation last sent to a peer, and when. */
interface SentGeneration {
  readonly generation: number;
  readonly at: number;
}

/** Interval, in milliseconds, to resend the generation; messages get lost. */
const RESEND_INTERVAL_MS = 1_000;

/** Grants and demands waiting to be sent to one peer. */
interface Outbox {
  readonly incarnation: string;
  /** The oldest peer stamp among the messages that these grants answer. */
  stamp: number;
  readonly grants: BudgetGrant[];
  readonly demands: BudgetDemand[];
}

/** Exchanges budget messages for all tables, in batches and Borrow calls. */
export class BudgetExchange {
  readonly #deps: BudgetExchangeDeps;
  readonly #tables = new Map<number, BudgetTable>();
  readonly #outboxes = new Map<string, Outbox>();
  readonly #incarnations = new Map<string, string>();
  readonly #lastSent = new Map<string, SentGeneration>();

  constructor(deps: BudgetExchangeDeps) {
    this.#deps = deps;
  }

  /** Adds a table; it is included from the next message on. */
  register(table: BudgetTable): void {
    this.#tables.set(table.kind, table);
  }

  /** Adds the budget part for a peer to a batch, if there is one to send. */
  fill(batch: { budget?: BudgetPart }, to: string): void {
    const now = this.#deps.clock.now();
    const asks = [...this.#tables.values()].flatMap((t) => t.dueAsks(to, now));
    const part = this.#buildPart(to, asks, now);
    if (part !== undefined) batch.budget = part;
  }

  /** Processes the budget part of another instance's batch. */
  absorb(batch: { budget?: BudgetPart }, from: InstanceIncarnation): void {
    if (batch.budget !== undefined) this.#absorb(batch.budget, from);
  }

  /** Builds a Borrow call that carries one request outside a batch. */
  call(to: string, ask: BudgetAsk): BorrowCall {
    const { instance, incarnation } = this.#deps.self;
    const part = this.#buildPart(to, [ask], this.#deps.clock.now());
    return create(BorrowCallSchema, { instance, incarnation, part });
  }

  /** Handles a Borrow call from another instance. */
  answer(call: BorrowCall): BorrowAnswer {
    const from = { instance: call.instance, incarnation: call.incarnation };
    if (call.part !== undefined) this.#absorb(call.part, from);
    const part = this.#buildPart(call.instance, [], this.#deps.clock.now());
    const { incarnation } = this.#deps.self;
    return create(BorrowAnswerSchema, { incarnation, part });
  }

  /** Processes the answer to a Borrow call of this instance. */
  answered({ part, incarnation }: BorrowAnswer, lender: string): void {
    if (part === undefined) return;
    this.#absorb(part, { instance: lender, incarnation });
  }

  #buildPart(
    to: string,
    asks: BudgetAsk[],
    now: number,
  ): BudgetPart | undefined {
    const outbox = this.#outboxes.get(to);
    this.#outboxes.delete(to);
    const settledGeneration = this.#deps.shares.settledGeneration(now);
    const lastSent = this.#lastSent.get(to);
    const upToDate = lastSent !== undefined &&
      lastSent.generation === settledGeneration &&
      now - lastSent.at < RESEND_INTERVAL_MS;
    if (asks.length === 0 && outbox === undefined && upToDate) return undefined;
    this.#lastSent.set(to, { generation: settledGeneration, at: now });
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

  #absorb(part: BudgetPart, from: InstanceIncarnation): void {
    const now = this.#deps.clock.now();
    this.#deps.shares.recordSettledGeneration(
      from.instance,
      part.settledGeneration,
    );
    if (this.#incarnations.get(from.instance) !== from.incarnation) {
      this.#incarnations.set(from.instance, from.incarnation);
      this.#lastSent.delete(from.instance);
    }
    this.#acceptGrants(part, from, now);
    for (const demand of part.demands) {
      this.#tables.get(demand.kind)?.recordDemand(demand, from, now);
    }
    for (const ask of part.asks) this.#answerAsk(part, ask, from, now);
  }

  /** Ignores grants that echo another incarnation's stamp: its clock differs. */
  #acceptGrants(
    part: BudgetPart,
    from: InstanceIncarnation,
    now: number,
  ): void {
    if (part.echoIncarnation !== this.#deps.self.incarnation) return;
    for (const grant of part.grants) {
      const end = part.echoStamp + grant.leaseMs;
      this.#tables.get(grant.kind)?.accept(grant, from, end, now);
    }
  }

  #answerAsk(
    part: BudgetPart,
    ask: BudgetAsk,
    from: InstanceIncarnation,
    now: number,
  ): void {
    const answer = this.#tables.get(ask.kind)?.answer(ask, from, now);
    if (answer === undefined) return;
    if (answer.grants.length === 0 && answer.demand === undefined) return;
    const outbox = this.#outboxFor(from, part.stamp);
    outbox.grants.push(...answer.grants);
    if (answer.demand !== undefined) outbox.demands.push(answer.demand);
  }

  #outboxFor(to: InstanceIncarnation, stamp: number): Outbox {
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
