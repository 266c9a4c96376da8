/**
 * Further attempts of requests: limited by the fleet's retry budget, logged and
 * counted by service and reason.
 *
 * @module
 */
import {
  type Clock,
  type Log,
  type Metrics,
  roundToHundredth,
  type ServiceId,
} from "../core/mod.ts";
import type {
  BudgetFleet,
  EarnedCredit,
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

/** A further attempt of a request. */
export interface RetryDecision {
  readonly reason: RetryReason;
  /** On the instance's clock. */
  readonly decidedAt: number;
}

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
  /** Credit that had been earned when it began. */
  readonly earned: EarnedCredit;
  requests: number;
  taken: number;
  refused: number;
  arrived: number;
  /** Maximum time from the decision on a retry to the end of its attempt. */
  longestMs: number;
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
  arrived(service: ServiceId, { reason, decidedAt }: RetryDecision): void {
    const { metrics, clock } = this.#opts;
    const tookMs = clock.now() - decidedAt;
    metrics.count("endpoint.repeats", { service, reason });
    metrics.timing("endpoint.repeat_duration", tookMs, { service });
    this.#update(service, (tally) => {
      tally.arrived++;
      tally.longestMs = Math.max(tally.longestMs, tookMs);
    });
  }

  get #fleet(): BudgetFleet {
    const { fleetSize, isFleetKnown } = this.#opts;
    return { instances: fleetSize(), isSizeKnown: isFleetKnown() };
  }

  /** Updates the tally of a service, and reports it at most once per interval. */
  #update(service: ServiceId, change: (tally: Tally) => void): void {
    const now = this.#opts.clock.now();
    const tally = this.#tallyOf(service);
    change(tally);
    if (now - tally.since >= STATE_INTERVAL_MS) {
      this.#report(service, tally, now);
    }
  }

  /** Logs and counts a tally, and starts the next. */
  #report(service: ServiceId, tally: Tally, now: number): void {
    const { budget, log } = this.#opts;
    const fleet = this.#fleet;
    const credit = budget.available(service, fleet, now);
    const earned = budget.earned(service);
    const byRequests = earned.byRequests - tally.earned.byRequests;
    const overTime = earned.overTime - tally.earned.overTime;
    this.#countCredit(service, "requests", byRequests);
    this.#countCredit(service, "time", overTime);
    log.event("retry_budget_state", {
      service,
      requests: tally.requests,
      taken: tally.taken,
      refused: tally.refused,
      arrived: tally.arrived,
      longestMs: Math.round(tally.longestMs),
      sinceMs: Math.round(now - tally.since),
      earnedByRequests: roundToHundredth(byRequests),
      earnedOverTime: roundToHundredth(overTime),
      credit,
      instances: fleet.instances,
      sizeKnown: fleet.isSizeKnown,
    });
    this.#tallies.set(service, newTally(now, earned));
  }

  #countCredit(
    service: ServiceId,
    source: "requests" | "time",
    credit: number,
  ): void {
    const { metrics } = this.#opts;
    metrics.count("endpoint.retry_credit", { service, source }, credit);
  }

  #tallyOf(service: ServiceId): Tally {
    const known = this.#tallies.get(service);
    if (known !== undefined) return known;
    const { budget, clock } = this.#opts;
    const since = clock.now() - STATE_INTERVAL_MS;
    const created = newTally(since, budget.earned(service));
    this.#tallies.set(service, created);
    return created;
  }
}

function newTally(since: number, earned: EarnedCredit): Tally {
  const counts = { requests: 0, taken: 0, refused: 0, arrived: 0 };
  return { since, earned, ...counts, longestMs: 0 };
}
