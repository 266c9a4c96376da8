/**
 * Further attempts of requests: limited by the fleet's retry budget, logged and
 * counted by service and reason.
 *
 * @module
 */
import type { Clock, Log, Metrics, ServiceId } from "../core/mod.ts";
import type { SharedRetryBudget } from "../decisions/retries/mod.ts";

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

/** Retries at one service since its last log line. */
interface Tally {
  readonly since: number;
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

  /** Records a request of a caller. */
  request(service: ServiceId): void {
    const { budget, clock } = this.#opts;
    budget.request(service, clock.now());
  }

  /** Spends one retry; false if this instance's part of the budget is spent. */
  take(service: ServiceId, reason: RetryReason): boolean {
    const { budget, fleetSize, clock, metrics } = this.#opts;
    const isTaken = budget.take(
      service,
      { instances: fleetSize() },
      clock.now(),
    );
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

  /** Updates the tally of a service, and logs it at most once per interval. */
  #update(service: ServiceId, change: (tally: Tally) => void): void {
    const { budget, fleetSize, isFleetKnown, clock, log } = this.#opts;
    const now = clock.now();
    const tally = this.#tallies.get(service) ??
      { since: -Infinity, taken: 0, refused: 0, arrived: 0 };
    this.#tallies.set(service, tally);
    change(tally);
    if (now - tally.since < STATE_INTERVAL_MS) return;
    const instances = fleetSize();
    const { taken, refused, arrived } = tally;
    log.event("retry_budget_state", {
      service,
      taken,
      refused,
      arrived,
      ...budget.state(service, { instances }, now),
      instances,
      sizeKnown: isFleetKnown(),
    });
    const reset = { since: now, taken: 0, refused: 0, arrived: 0 };
    this.#tallies.set(service, reset);
  }
}
