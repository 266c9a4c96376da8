/**
 * An exhaustive search of a small lending model: two instances, one account,
 * and every order of requests, returns, waits and message delivery, repetition
 * and loss, up to a number of steps.
 *
 * The lender's clock is fast and the borrower's slow, both by the maximum
 * drift, which is the worst case for a lease.
 *
 * @module
 */
import { clone } from "@bufbuild/protobuf";
import type { AccountId, Clock, Timer } from "../../../core/mod.ts";
import { parseDocument, type SteeringDocument } from "../../../document/mod.ts";
import { type BudgetPart, BudgetPartSchema } from "../../../gen/budget_pb.ts";
import type { SeatDirectory } from "../../../membership/mod.ts";
import { BudgetExchange } from "../budget_exchange.ts";
import { EPSILON, invariant } from "../invariant.ts";
import { MAX_DRIFT } from "../lease.ts";
import { RateBudgets } from "../rate_budgets.ts";
import { SeatShares } from "../seat_shares.ts";

/** Limits of the search. */
export interface SearchBounds {
  /** Steps from the initial state. */
  readonly depth: number;
  /** Messages in transit at once; more are lost. */
  readonly messages: number;
}

/** Numbers of distinct states reached and steps taken. */
export interface SearchResult {
  readonly states: number;
  readonly steps: number;
}

/** One step: an action, and the index of the message it delivers, if any. */
interface Step {
  readonly action: "rate" | "tokens" | "wait" | "return" | "deliver" | "repeat";
  readonly message: number;
}

interface Message {
  readonly to: Side;
  readonly part: BudgetPart;
  repeated: boolean;
}

type Side = "lender" | "borrower";

const ACCOUNT = "a" as AccountId;
const BURST = 8;
/** Three waits stay just within a lease, four exceed it. */
const STEP_MS = 295;
const START_MS = 5_000;

/** Searches every order of steps; throws if the shares exceed the total. */
export function searchLending(bounds: SearchBounds): SearchResult {
  const seen = new Set<string>();
  let frontier: Step[][] = [[]];
  let steps = 0;
  for (let depth = 0; depth < bounds.depth; depth++) {
    const next: Step[][] = [];
    for (const path of frontier) {
      for (const step of replay(path, bounds).enabledSteps()) {
        const extended = [...path, step];
        const model = replay(extended, bounds);
        steps += 1;
        const key = model.key();
        if (seen.has(key)) continue;
        seen.add(key);
        next.push(extended);
      }
    }
    frontier = next;
  }
  return { states: seen.size, steps };
}

function replay(path: readonly Step[], bounds: SearchBounds): LendingModel {
  const model = new LendingModel(bounds);
  for (const step of path) {
    model.apply(step);
    model.check();
  }
  return model;
}

class DriftingClock implements Clock {
  ms = START_MS;
  readonly #speed: number;

  constructor(speed: number) {
    this.#speed = speed;
  }

  now(): number {
    return this.ms * this.#speed;
  }

  wall(): number {
    return this.now();
  }

  after(): Timer {
    return { close: () => {} };
  }
}

class ModelInstance {
  readonly clock: DriftingClock;
  readonly budgets: RateBudgets;
  readonly exchange: BudgetExchange;

  constructor(side: Side, speed: number) {
    this.clock = new DriftingClock(speed);
    const self = { instance: side, incarnation: side, zone: "z", region: "r" };
    const shares = new SeatShares({
      instance: side,
      seats: seatsOf(side),
      holdMs: () => 0,
    });
    shares.adopt(DOCUMENT, 1, 0);
    shares.recordSettledGeneration("lender", 1);
    shares.recordSettledGeneration("borrower", 1);
    shares.run(0);
    this.budgets = new RateBudgets({
      self,
      shares,
      peers: () => [],
      seatVacancyMs: () => 0,
    });
    this.exchange = new BudgetExchange({ self, clock: this.clock, shares });
    this.exchange.register(this.budgets);
    this.budgets.adopt(DOCUMENT, 0);
  }

  get row() {
    return this.budgets.activate(ACCOUNT, this.clock.now())!;
  }
}

class LendingModel {
  readonly #lender = new ModelInstance("lender", 1 + MAX_DRIFT);
  readonly #borrower = new ModelInstance("borrower", 1 - MAX_DRIFT);
  readonly #bounds: SearchBounds;
  #messages: Message[] = [];

  constructor(bounds: SearchBounds) {
    this.#bounds = bounds;
  }

  enabledSteps(): Step[] {
    const actions = ["rate", "tokens", "wait", "return"] as const;
    const steps: Step[] = actions.map((action) => ({ action, message: 0 }));
    this.#messages.forEach(({ repeated }, message) => {
      steps.push({ action: "deliver", message });
      if (!repeated) steps.push({ action: "repeat", message });
    });
    return steps;
  }

  apply({ action, message }: Step): void {
    switch (action) {
      case "rate":
        return this.#ask({ wanted: 0.25, tokens: 0 });
      case "tokens":
        return this.#ask({ wanted: 0, tokens: 1 });
      case "wait":
        this.#lender.clock.ms += STEP_MS;
        this.#borrower.clock.ms += STEP_MS;
        return;
      case "return":
        return this.#returnLoans();
      case "deliver":
        return this.#deliver(this.#messages.splice(message, 1)[0]!);
      case "repeat":
        this.#messages[message]!.repeated = true;
        return this.#deliver(this.#messages[message]!);
    }
  }

  /** Asserts that rate, burst and tokens of both stay within the total. */
  check(): void {
    const both = [this.#lender, this.#borrower].map(({ budgets, clock }) =>
      budgets.spendable(ACCOUNT, clock.now())
    );
    const sum = (of: (s: typeof both[number]) => number) =>
      both.reduce((n, s) => n + of(s), 0);
    invariant(sum((s) => s.fraction) <= 1 + EPSILON, "rate exceeds the total");
    invariant(sum((s) => s.room) <= 1 + EPSILON, "burst exceeds the total");
    invariant(
      sum((s) => s.tokens) <= BURST + EPSILON,
      "tokens exceed the burst",
    );
  }

  /** A key of the state, so that a state reached twice is searched once. */
  key(): string {
    const sides = [this.#lender, this.#borrower].map(({ row, clock }) => {
      const { book } = row.share;
      const now = clock.now();
      return [
        now,
        book.lentLoans(now),
        book.borrowedLoans(now),
        book.expiredLoans(now),
        book.loansToReport("lender", now),
        row.share.tokens(now).toFixed(6),
      ];
    });
    const messages = this.#messages.map((
      { to, part, repeated },
    ) => [to, part, repeated]);
    return JSON.stringify([sides, messages]);
  }

  #ask(what: { wanted: number; tokens: number }): void {
    const { budgets, clock, exchange, row } = this.#borrower;
    const now = clock.now();
    const ask = budgets.immediateAsk(row, "lender", { ...what, now });
    this.#send("lender", exchange.call("lender", ask).part);
  }

  #returnLoans(): void {
    const { row, clock } = this.#borrower;
    const now = clock.now();
    for (const loan of row.share.book.borrowedLoans(now)) {
      row.share.returnBorrowed(loan, loan.amount, now);
    }
  }

  #deliver({ to, part }: Message): void {
    const copy = clone(BudgetPartSchema, part);
    if (to === "borrower") {
      const answer = { incarnation: "lender", part: copy };
      return this.#borrower.exchange.answered(answer as never, "lender");
    }
    const call = { instance: "borrower", incarnation: "borrower", part: copy };
    const answer = this.#lender.exchange.answer(call as never);
    this.#send("borrower", answer.part);
  }

  #send(to: Side, part: BudgetPart | undefined): void {
    if (part === undefined) return;
    if (this.#messages.length >= this.#bounds.messages) return;
    this.#messages.push({ to, part, repeated: false });
  }
}

function seatsOf(side: Side): SeatDirectory {
  const index = side === "lender" ? 0 : 1;
  const zone = "z" as never;
  const seat = { zone, index, epoch: 1 };
  return {
    held: () => [{ ...seat, part: 1, until: Infinity }],
    entries: () => [{ ...seat, holder: side as never, incarnation: side }],
  };
}

const DOCUMENT: SteeringDocument = parseDocument({
  accounts: { accounts: { [ACCOUNT]: { keys: [] } } },
  rates: { rates: { [ACCOUNT]: { rate_per_s: 4, burst: BURST } } },
  regions: { regions: { r: { zones: { z: { instances: 2 } } } } },
})._unsafeUnwrap();
