/**
 * Admission by parts that follow demand: the fast path spends a token of this
 * instance's part; a request without one waits, within its deadline, while a
 * part moves here.
 *
 * @module
 */
import { ok, type Result } from "neverthrow";
import {
  type AccountId,
  type Clock,
  fail,
  type Failure,
  type Timer,
} from "../../core/mod.ts";
import type { SteeringDocument } from "../../document/mod.ts";
import { LEASE_MS } from "../budgets/lease.ts";
import { isOver, mayWait, patienceMs } from "../budgets/patience.ts";
import type { RateBudgets } from "../budgets/rate_budgets.ts";
import type { RateRow } from "../budgets/rate_row.ts";
import type { BorrowRounds } from "./borrow_rounds.ts";
import type { RateLimiter, TakeOptions } from "./rate_limiter.ts";
import { noRate, overRate } from "./rate_refusal.ts";

interface Waiter {
  readonly deadline: number;
  readonly settle: (result: Result<void, Failure>) => void;
}

interface Queue {
  readonly row: RateRow;
  waiters: Waiter[];
  timer: Timer | undefined;
  /** Since when others have had nothing to lend; undefined if they have. */
  scarceSince: number | undefined;
  scarceSeenAt: number;
  /** Whether others lent something since the last round began. */
  grown: boolean;
}

/** What a limiter needs. */
export interface LeasedLimiterDeps {
  readonly clock: Clock;
  readonly budgets: RateBudgets;
  readonly rounds: (onEnd: (row: RateRow) => void) => BorrowRounds;
}

const MS_PER_S = 1_000;
/** A shortage not seen for this long, in milliseconds, is over. */
const SCARCE_FORGET_MS = 1_000;
/** Between two looks at a queue, in milliseconds. */
const LOOK_MS = 50;
const SHORTEST_LOOK_MS = 1;

/** Spends this instance's part of each account's rate, and borrows for it. */
export class LeasedLimiter implements RateLimiter {
  readonly #clock: Clock;
  readonly #budgets: RateBudgets;
  readonly #rounds: BorrowRounds;
  readonly #queues = new Map<AccountId, Queue>();
  readonly #taken = Promise.resolve<Result<void, Failure>>(ok(undefined));

  constructor(deps: LeasedLimiterDeps) {
    this.#clock = deps.clock;
    this.#budgets = deps.budgets;
    this.#rounds = deps.rounds((row) => this.#roundEnded(row));
  }

  adopt(document: SteeringDocument): void {
    const now = this.#clock.now();
    this.#budgets.adopt(document, now);
    for (const account of this.#queues.keys()) {
      if (!Object.hasOwn(document.rates, account)) this.#drop(account);
    }
  }

  take(
    account: AccountId,
    opts: TakeOptions,
  ): Promise<Result<void, Failure>> {
    const now = this.#clock.now();
    const row = this.#budgets.open(account, now);
    if (row === undefined) return Promise.resolve(noRate(account));
    row.share.demand.hit(now);
    if (row.waiting === 0 && row.share.take(now)) return this.#taken;
    return new Promise((settle) => this.#wait(row, opts, settle));
  }

  /** Serves what waits for the account; called when its part has grown. */
  pump(account: AccountId): void {
    const queue = this.#queues.get(account);
    if (queue === undefined) return;
    queue.grown = true;
    this.#pump(queue);
  }

  /** Refuses everything that waits. */
  close(): void {
    for (const account of [...this.#queues.keys()]) this.#drop(account);
  }

  #wait(
    row: RateRow,
    { deadline, signal }: TakeOptions,
    settle: Waiter["settle"],
  ): void {
    const queue = this.#queueOf(row);
    const now = this.#clock.now();
    const refusal = this.#refusal(queue, row.waiting + 1, deadline);
    if (refusal !== undefined) return settle(refusal);
    const waiter = { deadline: now + patienceMs(deadline - now), settle };
    queue.waiters.push(waiter);
    row.waiting = queue.waiters.length;
    signal?.addEventListener("abort", () => this.#cancel(queue, waiter), {
      once: true,
    });
    this.#rounds.start(row);
    this.#pump(queue);
  }

  /** Why the request at `position` should not wait; undefined if it may. */
  #refusal(
    queue: Queue,
    position: number,
    deadline: number,
  ): Result<void, Failure> | undefined {
    const { row } = queue;
    const now = this.#clock.now();
    const { ratePerS, burst } = row.share.total;
    const waitMs = row.share.waitMs(now, position);
    const shortage = {
      waitMs,
      leftMs: deadline - now,
      scarceForMs: this.#scarceForMs(queue, now),
      fleetDemand: this.#budgets.fleetDemand(row, now),
      ratePerS,
      bestMs: Math.max(0, position - burst) / ratePerS * MS_PER_S,
    };
    if (mayWait(shortage)) return undefined;
    if (queue.scarceSince !== undefined) queue.scarceSeenAt = now;
    return overRate(row.account, Number.isFinite(waitMs) ? waitMs : LEASE_MS);
  }

  #scarceForMs(queue: Queue, now: number): number {
    if (queue.scarceSince === undefined) return 0;
    if (now - queue.scarceSeenAt > SCARCE_FORGET_MS) {
      queue.scarceSince = undefined;
      return 0;
    }
    return now - queue.scarceSince;
  }

  #roundEnded(row: RateRow): void {
    const queue = this.#queues.get(row.account);
    if (queue === undefined) return;
    this.#pump(queue);
    const now = this.#clock.now();
    const { grown } = queue;
    queue.grown = false;
    if (queue.waiters.length === 0) {
      const { ratePerS } = row.share.total;
      const fleetDemand = this.#budgets.fleetDemand(row, now);
      const lent = grown && !isOver({ fleetDemand, ratePerS });
      if (lent) queue.scarceSince = undefined;
      return;
    }
    if (this.#scarceForMs(queue, now) === 0) queue.scarceSince = now;
    queue.scarceSeenAt = now;
    this.#refuseHopeless(queue);
  }

  /** Serves in order of arrival, ends what ran out, and looks again later. */
  #pump(queue: Queue): void {
    const { row } = queue;
    const now = this.#clock.now();
    if (this.#budgets.open(row.account, now) !== row) return;
    const served: Waiter[] = [];
    const late: Waiter[] = [];
    const left: Waiter[] = [];
    for (const waiter of queue.waiters) {
      if (waiter.deadline <= now) late.push(waiter);
      else if (left.length === 0 && row.share.take(now)) served.push(waiter);
      else left.push(waiter);
    }
    queue.waiters = left;
    row.waiting = left.length;
    this.#look(queue);
    for (const { settle } of served) settle(ok(undefined));
    const waitMs = row.share.waitMs(now, left.length + 1);
    for (const { settle } of late) settle(overRate(row.account, waitMs));
  }

  #refuseHopeless(queue: Queue): void {
    const kept: Waiter[] = [];
    for (const waiter of queue.waiters) {
      const refusal = this.#refusal(queue, kept.length + 1, waiter.deadline);
      if (refusal === undefined) kept.push(waiter);
      else waiter.settle(refusal);
    }
    queue.waiters = kept;
    queue.row.waiting = kept.length;
  }

  #look(queue: Queue): void {
    queue.timer?.close();
    queue.timer = undefined;
    if (queue.waiters.length === 0) return this.#rounds.forget(queue.row);
    const now = this.#clock.now();
    const first = Math.min(...queue.waiters.map((w) => w.deadline)) - now;
    const next = Math.min(queue.row.share.waitMs(now, 1), first, LOOK_MS);
    queue.timer = this.#clock.after(Math.max(SHORTEST_LOOK_MS, next), () => {
      queue.timer = undefined;
      this.#pump(queue);
      if (queue.waiters.length > 0) this.#rounds.start(queue.row);
    });
  }

  #cancel(queue: Queue, waiter: Waiter): void {
    if (!queue.waiters.includes(waiter)) return;
    queue.waiters = queue.waiters.filter((w) => w !== waiter);
    queue.row.waiting = queue.waiters.length;
    waiter.settle(fail("cancelled", "the caller went away", {
      outcome: "not-run",
    }));
  }

  #queueOf(row: RateRow): Queue {
    const known = this.#queues.get(row.account);
    if (known !== undefined && known.row === row) return known;
    if (known !== undefined) this.#drop(row.account);
    const queue: Queue = {
      row,
      waiters: [],
      timer: undefined,
      scarceSince: undefined,
      scarceSeenAt: -Infinity,
      grown: false,
    };
    this.#queues.set(row.account, queue);
    return queue;
  }

  #drop(account: AccountId): void {
    const queue = this.#queues.get(account);
    this.#queues.delete(account);
    queue?.timer?.close();
    for (const { settle } of queue?.waiters ?? []) settle(noRate(account));
  }
}
