/**
 * Further attempts of requests: limited by the fleet's retry budget, logged and
 * counted by service and reason.
 *
 * @module
 */
import type { Clock, Log, Metrics, ServiceId } from "../core/mod.ts";
import type {
  BudgetFleet,
  RetryAllowance,
  SharedRetryBudget,
} from "../decisions/retries/mod.ts";

/** Why a request needs another attempt. */
export type RetryReason =
  /** The response was lost, truncated or invalid. */
  | "lost"
  /** The endpoint responded with a server error. */
  | "failed"
  /** The endpoint refused the request. */
  | "shed"
  /** No connection to the endpoint could be opened. */
  | "unreachable"
  /** The links to all endpoints were lost. */
  | "link"
  /** The instance that it was passed on to may not have finished it. */
  | "peer";

/** Minimum interval between log lines of a service's budget. */
const STATE_INTERVAL_MS = 1_000;

/** Dependencies of {@link EndpointRetries}. */
export interface EndpointRetriesOptions {
  readonly budget: SharedRetryBudget;
  /** Number of instances in the fleet, including this one. */
  readonly fleetSize: () => number;
  /** Whether the instance list was read. */
  readonly isFleetKnown: () => boolean;
  readonly clock: Clock;
  readonly log: Log;
  readonly metrics: Metrics;
}

/** Requests and retries at one service since its last log line. */
interface Tally {
  readonly since: number;
  requests: number;
  taken: number;
  refused: number;
  arrived: number;
}

/**
 * Retries of one instance.
 *
 * @example
 * ```ts
 * retries.request(service);
 * if (retries.take(service, "shed")) await sendAgain();
 * ```
 */
export class EndpointRetries {
  readonly #opts: EndpointRetriesOptions;
  readonly #tallies = new Map<ServiceId, Tally>();

  constructor(opts: EndpointRetriesOptions) {
    this.#opts = opts;
  }

  /** Applies a new budget of the fleet. */
  setAllowance(allowance: RetryAllowance): void {
    const { budget, clock } = this.#opts;
    budget.setAllowance(allowance, clock.now());
  }

  /** Records a request of a caller. */
  request(service: ServiceId): void {
    const { budget, clock } = this.#opts;
    budget.request(service, clock.now());
    this.#tallyOf(service).requests++;
  }

  /** Spends one retry; false if this instance has no credit for it. */
  take(service: ServiceId, reason: RetryReason): boolean {
    const { budget, clock, metrics } = this.#opts;
    const isTaken = budget.take(service, this.#fleet, clock.now());
    const result = isTaken ? "taken" : "refused";
    metrics.count("endpoint.retries", { service, reason, result });
    this.#update(service, (tally) => tally[result]++);
    return isTaken;
  }

  /** Records an attempt that followed others and may have reached its endpoint. */
  arrived(service: ServiceId, reason: RetryReason): void {
    this.#opts.metrics.count("endpoint.repeats", { service, reason });
    this.#update(service, (tally) => tally.arrived++);
  }

  get #fleet(): BudgetFleet {
    const { fleetSize, isFleetKnown } = this.#opts;
    return { instances: fleetSize(), isSizeKnown: isFleetKnown() };
  }

  /** Updates the tally of a service, and logs it at most once per interval. */
  #update(service: ServiceId, change: (tally: Tally) => void): void {
    const { budget, clock, log } = this.#opts;
    const now = clock.now();
    const tally = this.#tallyOf(service);
    change(tally);
    const { since, ...counts } = tally;
    if (now - since < STATE_INTERVAL_MS) return;
    const fleet = this.#fleet;
    log.event("retry_budget_state", {
      service,
      ...counts,
      sinceMs: Math.round(now - since),
      credit: budget.available(service, fleet, now),
      instances: fleet.instances,
      sizeKnown: fleet.isSizeKnown,
    });
    this.#tallies.set(service, newTally(now));
  }

  #tallyOf(service: ServiceId): Tally {
    const known = this.#tallies.get(service);
    if (known !== undefined) return known;
    const created = newTally(this.#opts.clock.now() - STATE_INTERVAL_MS);
    this.#tallies.set(service, created);
    return created;
  }
}

function newTally(since: number): Tally {
  return { since, requests: 0, taken: 0, refused: 0, arrived: 0 };
}
