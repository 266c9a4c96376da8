/**
 * Rate limiter in which instances lend each other shares of a rate as demand
 * shifts. The fast path spends a token of this instance's share; a request
 * without one waits, within its deadline, while this instance borrows.
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
import { exceedsRate, maxWaitMs, mayWait } from "../budgets/wait_policy.ts";
import type { RateBudgets } from "../budgets/rate_budgets.ts";
import type { RateRow } from "../budgets/rate_row.ts";
import type { BorrowRounds } from "./borrow_rounds.ts";
import type { RateLimiter, TakeOptions } from "./rate_limiter.ts";
import { rateExceeded, rateMissing } from "./rate_refusal.ts";

interface Waiter {
  readonly deadline: number;
  readonly settle: (result: Result<void, Failure>) => void;
}

interface Queue {
  readonly row: RateRow;
  waiters: Waiter[];
  timer: Timer | undefined;
  /** Start of the current shortage: rounds end with requests waiting. */
  scarceSince: number | undefined;
  scarceSeenAt: number;
  /** Whether this instance's share has grown since the last round ended. */
  shareGrown: boolean;
}

/** Dependencies of {@link LeasedLimiter}. */
export interface LeasedLimiterDeps {
  readonly clock: Clock;
  readonly budgets: RateBudgets;
  readonly rounds: (onEnd: (row: RateRow) => void) => BorrowRounds;
}

const MS_PER_S = 1_000;
/** A shortage that was not observed for this long has ended. */
const SHORTAGE_EXPIRY_MS = 1_000;
/** Bounds of the time between two checks of a queue. */
const MAX_CHECK_INTERVAL_MS = 50;
const MIN_CHECK_INTERVAL_MS = 1;

/** Spends this instance's share of each account's rate, and borrows more. */
export class LeasedLimiter implements RateLimiter {
  readonly #clock: Clock;
  readonly #budgets: RateBudgets;
  readonly #rounds: BorrowRounds;
  readonly #queues = new Map<AccountId, Queue>();
  readonly #admitted = Promise.resolve<Result<void, Failure>>(ok(undefined));

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
    const row = this.#budgets.activate(account, now);
    if (row === undefined) return Promise.resolve(rateMissing(account));
    row.share.demand.countAttempt(now);
    if (row.waiting === 0 && row.share.take(now)) return this.#admitted;
    return new Promise((settle) => this.#wait(row, opts, settle));
  }

  /** Admits the account's waiting requests; called when its share has grown. */
  serveWaiting(account: AccountId): void {
    const queue = this.#queues.get(account);
    if (queue === undefined) return;
    queue.shareGrown = true;
    this.#serveQueue(queue);
  }

  /** Refuses all waiting requests. */
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
    const waiter = { deadline: now + maxWaitMs(deadline - now), settle };
    queue.waiters.push(waiter);
    row.waiting = queue.waiters.length;
    signal?.addEventListener("abort", () => this.#cancel(queue, waiter), {
      once: true,
    });
    this.#rounds.start(row);
    this.#serveQueue(queue);
  }

  /** The refusal of the request at `position`; undefined if it may wait. */
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
    return rateExceeded(
      row.account,
      Number.isFinite(waitMs) ? waitMs : LEASE_MS,
    );
  }

  #scarceForMs(queue: Queue, now: number): number {
    if (queue.scarceSince === undefined) return 0;
    if (now - queue.scarceSeenAt > SHORTAGE_EXPIRY_MS) {
      queue.scarceSince = undefined;
      return 0;
    }
    return now - queue.scarceSince;
  }

  #roundEnded(row: RateRow): void {
    const queue = this.#queues.get(row.account);
    if (queue === undefined) return;
    this.#serveQueue(queue);
    const now = this.#clock.now();
    const { shareGrown } = queue;
    queue.shareGrown = false;
    if (queue.waiters.length === 0) {
      const { ratePerS } = row.share.total;
      const fleetDemand = this.#budgets.fleetDemand(row, now);
      const lent = shareGrown && !exceedsRate({ fleetDemand, ratePerS });
      if (lent) queue.scarceSince = undefined;
      return;
    }
    if (this.#scarceForMs(queue, now) === 0) queue.scarceSince = now;
    queue.scarceSeenAt = now;
    this.#refuseUnservable(queue);
  }

  /** Admits in order of arrival, refuses expired ones, schedules a check. */
  #serveQueue(queue: Queue): void {
    const { row } = queue;
    const now = this.#clock.now();
    if (this.#budgets.activate(row.account, now) !== row) return;
    const served: Waiter[] = [];
    const expired: Waiter[] = [];
    const waiting: Waiter[] = [];
    for (const waiter of queue.waiters) {
      if (waiter.deadline <= now) expired.push(waiter);
      else if (waiting.length === 0 && row.share.take(now)) served.push(waiter);
      else waiting.push(waiter);
    }
    queue.waiters = waiting;
    row.waiting = waiting.length;
    this.#scheduleCheck(queue);
    for (const { settle } of served) settle(ok(undefined));
    const waitMs = row.share.waitMs(now, waiting.length + 1);
    for (const { settle } of expired) settle(rateExceeded(row.account, waitMs));
  }

  #refuseUnservable(queue: Queue): void {
    const kept: Waiter[] = [];
    for (const waiter of queue.waiters) {
      const refusal = this.#refusal(queue, kept.length + 1, waiter.deadline);
      if (refusal === undefined) kept.push(waiter);
      else waiter.settle(refusal);
    }
    queue.waiters = kept;
    queue.row.waiting = kept.length;
  }

  #scheduleCheck(queue: Queue): void {
    queue.timer?.close();
    queue.timer = undefined;
    if (queue.waiters.length === 0) return this.#rounds.remove(queue.row);
    const now = this.#clock.now();
    const first = Math.min(...queue.waiters.map((w) => w.deadline)) - now;
    const next = Math.min(
      queue.row.share.waitMs(now, 1),
      first,
      MAX_CHECK_INTERVAL_MS,
    );
    queue.timer = this.#clock.after(
      Math.max(MIN_CHECK_INTERVAL_MS, next),
      () => {
        queue.timer = undefined;
        this.#serveQueue(queue);
        if (queue.waiters.length > 0) this.#rounds.start(queue.row);
      },
    );
  }

  #cancel(queue: Queue, waiter: Waiter): void {
    if (!queue.waiters.includes(waiter)) return;
    queue.waiters = queue.waiters.filter((w) => w !== waiter);
    queue.row.waiting = queue.waiters.length;
    waiter.settle(fail("cancelled", "the caller disconnected", {
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
      shareGrown: false,
    };
    this.#queues.set(row.account, queue);
    return queue;
  }

  #drop(account: AccountId): void {
    const queue = this.#queues.get(account);
    this.#queues.delete(account);
    queue?.timer?.close();
    for (const { settle } of queue?.waiters ?? []) settle(rateMissing(account));
  }
}
