/**
 * Borrows tokens from other instances immediately, for requests in a queue.
 *
 * Load: an account whose burst is smaller than the number of instances has less
 * than one token at each. Batches are sent once a tick, so each of its requests
 * would wait a tick or more. A round calls instances in the same zone and then,
 * if that is not enough, in the other zones, with one short call each.
 *
 * @module
 */
import type { Clock } from "../../core/mod.ts";
import { amountPerPeer, planTokenAsks } from "../budgets/ask_plan.ts";
import type { BudgetPeer } from "../budgets/budget_table.ts";
import type { RateBudgets } from "../budgets/rate_budgets.ts";
import type { RateRow } from "../budgets/rate_row.ts";
import type { BudgetAsk } from "../../gen/budget_pb.ts";

/** Sends borrow requests; `done` is called once, whether or not it succeeds. */
export interface LenderClient {
  borrow(lender: BudgetPeer, ask: BudgetAsk, done: () => void): void;
}

/** Dependencies of {@link BorrowRounds}. */
export interface BorrowRoundsDeps {
  readonly clock: Clock;
  readonly self: BudgetPeer;
  readonly budgets: RateBudgets;
  readonly lenders: LenderClient;
  readonly peers: () => readonly BudgetPeer[];
  /** Called when a round ends: all groups were asked, or no token is needed. */
  readonly onEnd: (row: RateRow) => void;
}

/** Minimum time between starts of rounds for an account; bounds the calls. */
const MIN_ROUND_INTERVAL_MS = 50;

/** Concurrent rounds over all accounts; the others borrow through batches. */
const MAX_ROUNDS = 32;

/** Runs borrow rounds, at most one at a time for each account. */
export class BorrowRounds {
  readonly #deps: BorrowRoundsDeps;
  readonly #startedAt = new Map<RateRow, number>();
  readonly #running = new Set<RateRow>();
  #rotation = 0;

  constructor(deps: BorrowRoundsDeps) {
    this.#deps = deps;
  }

  /** Starts a round unless one is running or started recently. */
  start(row: RateRow): void {
    const now = this.#deps.clock.now();
    const last = this.#startedAt.get(row) ?? -Infinity;
    if (this.#running.has(row) || this.#running.size >= MAX_ROUNDS) return;
    if (now - last < MIN_ROUND_INTERVAL_MS) return;
    this.#startedAt.set(row, now);
    this.#running.add(row);
    this.#rotation += 1;
    this.#askGroup(row, this.#deps.budgets.tokenLenders(row));
  }

  /** Drops the state of an account without waiting requests. */
  remove(row: RateRow): void {
    if (!this.#running.has(row)) this.#startedAt.delete(row);
  }

  #askGroup(row: RateRow, groups: BudgetPeer[][]): void {
    const [group, ...rest] = groups;
    const { budgets, clock, lenders } = this.#deps;
    const now = clock.now();
    const missing = budgets.missingTokens(row, now);
    if (group === undefined || missing === 0) {
      this.#running.delete(row);
      this.#deps.onEnd(row);
      return;
    }
    const requests = planTokenAsks(missing, group, this.#rotation);
    let pending = requests.length;
    for (const { peer, tokens } of requests) {
      const wanted = amountPerPeer(
        budgets.missingFraction(row, now),
        requests.length,
      );
      const ask = budgets.immediateAsk(row, peer.instance, {
        wanted,
        tokens,
        now,
      });
      lenders.borrow(peer, ask, () => {
        pending -= 1;
        if (pending === 0) this.#askGroup(row, rest);
      });
    }
  }
}
