/**
 * Decides whether and when a failed attempt is retried.
 *
 * Only requests that are idempotent or certainly did not run are retried, only
 * while another attempt can end before the deadline, and with jitter, so that
 * requests that failed together are not retried together.
 *
 * @module
 */
import type { Failure, Random, ServiceId } from "../../core/mod.ts";
import { RetryBudget } from "./retry_budget.ts";

export interface FailedAttempt {
  readonly service: ServiceId;
  /** Attempts made, this one included. */
  readonly tries: number;
  readonly failure: Failure;
  readonly idempotent: boolean;
  /** Whether the request can be sent again, its body included. */
  readonly replayable: boolean;
  readonly deadline: number;
}

/** After three endpoints failed a request, it is likely the cause itself. */
const MAX_ATTEMPTS = 3;
/**
 * The next attempt goes to another endpoint, so the first backoff only spreads
 * requests that failed together; later ones give the pool time to recover.
 */
const BASE_BACKOFF_MS = 5;
/** With less time than this left, an attempt can't end before the deadline. */
const MIN_REMAINING_MS = 5;

/** Failures after which another endpoint may succeed. */
const RETRYABLE_CODES: ReadonlySet<Failure["code"]> = new Set([
  "endpoint_failed",
  "no_capacity",
]);

/** Retry policy of one instance, with a retry budget per service. */
export class RetryPolicy {
  readonly #random: Random;
  readonly #budgets = new Map<ServiceId, RetryBudget>();

  constructor(random: Random) {
    this.#random = random;
  }

  /** Records a request's first attempt. */
  request(service: ServiceId, now: number): void {
    this.#budget(service, now).request(now);
  }

  /** Spends a retry and returns its backoff; undefined if it is not allowed. */
  nextBackoffMs(failed: FailedAttempt, now: number): number | undefined {
    if (!isRetryable(failed)) return undefined;
    const maxBackoffMs = BASE_BACKOFF_MS * 2 ** (failed.tries - 1);
    const backoffMs = maxBackoffMs * this.#random.next();
    if (now + backoffMs + MIN_REMAINING_MS >= failed.deadline) return undefined;
    return this.#budget(failed.service, now).take(now) ? backoffMs : undefined;
  }

  /** Removes the budgets of all other services. */
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

function isRetryable(failed: FailedAttempt): boolean {
  const { failure, idempotent, replayable, tries } = failed;
  if (!replayable || tries >= MAX_ATTEMPTS) return false;
  if (!RETRYABLE_CODES.has(failure.code)) return false;
  return idempotent || failure.outcome === "not-run";
}
