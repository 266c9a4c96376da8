/**
 * Asking other instances at once, for requests that already wait.
 *
 * A batch goes once a tick; an account whose burst is smaller than the number
 * of instances has less than one token anywhere, so each of its requests would
 * wait a tick or more. A round asks the zone-mates and, if that is not enough,
 * all others, each side by one short call.
 *
 * @module
 */
import type { Clock } from "../../core/mod.ts";
import { askEach, askTokens } from "../budgets/ask_plan.ts";
import type { BudgetPeer } from "../budgets/budget_table.ts";
import type { RateBudgets } from "../budgets/rate_budgets.ts";
import type { RateRow } from "../budgets/rate_row.ts";
import type { BudgetAsk } from "../../gen/budget_pb.ts";

/** Sends one question; `done` is called once, answered or not. */
export interface Lenders {
  borrow(lender: BudgetPeer, ask: BudgetAsk, done: () => void): void;
}

/** What rounds need. */
export interface BorrowRoundsDeps {
  readonly clock: Clock;
  readonly self: BudgetPeer;
  readonly budgets: RateBudgets;
  readonly lenders: Lenders;
  readonly peers: () => readonly BudgetPeer[];
  /** Told when everybody in reach was asked. */
  readonly onEnd: (row: RateRow) => void;
}

/** Between two rounds of one account, in milliseconds; bounds the calls. */
const ROUND_GAP_MS = 50;

/** Rounds in flight at once over all accounts; the others use the batches. */
const MOST_ROUNDS = 32;

/** Rounds of questions, at most one at a time for each account. */
export class BorrowRounds {
  readonly #deps: BorrowRoundsDeps;
  readonly #startedAt = new Map<RateRow, number>();
  readonly #running = new Set<RateRow>();
  #turn = 0;

  constructor(deps: BorrowRoundsDeps) {
    this.#deps = deps;
  }

  /** Starts a round unless one runs or has just run. */
  start(row: RateRow): void {
    const now = this.#deps.clock.now();
    const last = this.#startedAt.get(row) ?? -Infinity;
    if (this.#running.has(row) || this.#running.size >= MOST_ROUNDS) return;
    if (now - last < ROUND_GAP_MS) return;
    this.#startedAt.set(row, now);
    this.#running.add(row);
    this.#turn += 1;
    this.#askGroup(row, this.#deps.budgets.tokenLenders(row));
  }

  /** Forgets an account that waits for nothing. */
  forget(row: RateRow): void {
    if (!this.#running.has(row)) this.#startedAt.delete(row);
  }

  #askGroup(row: RateRow, groups: BudgetPeer[][]): void {
    const [group, ...rest] = groups;
    const { budgets, clock, lenders } = this.#deps;
    const now = clock.now();
    const missing = budgets.tokensWanted(row, now);
    if (group === undefined || missing === 0) {
      this.#running.delete(row);
      this.#deps.onEnd(row);
      return;
    }
    const asked = askTokens(missing, group, this.#turn);
    let open = asked.length;
    for (const { peer, tokens } of asked) {
      const wanted = askEach(budgets.want(row, now), asked.length);
      const ask = budgets.askNow(row, peer.instance, { wanted, tokens, now });
      lenders.borrow(peer, ask, () => {
        open -= 1;
        if (open === 0) this.#askGroup(row, rest);
      });
    }
  }
}
