/**
 * Whether and when a failed try is followed by another.
 *
 * Only what is idempotent or surely did not run is tried again, only while
 * another try can still end before the deadline, and with jitter, so that
 * requests that failed together do not come again together.
 *
 * @module
 */
import type { Failure, Random, ServiceId } from "../../core/mod.ts";
import { RetryBudget } from "./retry_budget.ts";

/** A failed try. */
export interface FailedTry {
  readonly service: ServiceId;
  /** Tries made, this one included. */
  readonly tries: number;
  readonly failure: Failure;
  readonly idempotent: boolean;
  /** Whether the request can be sent once more, its body included. */
  readonly replayable: boolean;
  readonly deadline: number;
}

/** Three endpoints in a row that fail a request point to the request. */
const MAX_TRIES = 3;
/**
 * The next try goes to another endpoint, so the first wait need only spread
 * requests that failed together; later ones give the pool time.
 */
const FIRST_WAIT_MS = 5;
/** A try with less time than this left cannot end in time. */
const LEAST_LEFT_MS = 5;

/** Failures after which another endpoint may do better. */
const WORTH_A_TRY: ReadonlySet<Failure["code"]> = new Set([
  "endpoint_failed",
  "no_capacity",
]);

/** Decides on retries of all services at one instance. */
export class RetryPolicy {
  readonly #random: Random;
  readonly #budgets = new Map<ServiceId, RetryBudget>();

  constructor(random: Random) {
    this.#random = random;
  }

  /** Counts a request's first try. */
  request(service: ServiceId, now: number): void {
    this.#budget(service, now).request(now);
  }

  /** Milliseconds to wait before another try; undefined if there is none. */
  next(failed: FailedTry, now: number): number | undefined {
    if (!mayRunAgain(failed)) return undefined;
    const longest = FIRST_WAIT_MS * 2 ** (failed.tries - 1);
    const waitMs = longest * this.#random.next();
    if (now + waitMs + LEAST_LEFT_MS >= failed.deadline) return undefined;
    return this.#budget(failed.service, now).take(now) ? waitMs : undefined;
  }

  /** Forgets services that the document no longer has. */
  retain(services: ReadonlySet<string>): void {
    for (const id of this.#budgets.keys()) {
      if (!services.has(id)) this.#budgets.delete(id);
    }
  }

  #budget(service: ServiceId, now: number): RetryBudget {
    const known = this.#budgets.get(service);
    if (known) return known;
    const budget = new RetryBudget(now);
    this.#budgets.set(service, budget);
    return budget;
  }
}

function mayRunAgain(failed: FailedTry): boolean {
  const { failure, idempotent, replayable, tries } = failed;
  if (!replayable || tries >= MAX_TRIES) return false;
  if (!WORTH_A_TRY.has(failure.code)) return false;
  return idempotent || failure.outcome === "not-run";
}
