/**
 * Counts request outcomes per interval, service and client account.
 *
 * @module
 */
import type { AccountId, FailureCode, ServiceId } from "../core/mod.ts";

/** Length of an interval, in milliseconds. */
export const INTERVAL_MS = 300_000;
/** Maximum rows per instance; further accounts are counted under `*`. */
export const MAX_ROWS = 2_000;
/** Account name of rows for accounts beyond `MAX_ROWS`. */
export const OTHER_ACCOUNTS = "*";

/** Outcomes of one account at one service in one interval. */
export interface BurnRow {
  /** Intervals since the Unix epoch. */
  readonly interval: number;
  readonly service: string;
  readonly account: string;
  readonly good: number;
  /** Good requests that exceeded the service's latency objective. */
  readonly slow: number;
  /** Requests refused because the account exceeded its rate. */
  readonly refused: number;
  /** Bad requests by failure code. */
  readonly causes: Readonly<Record<string, number>>;
}

type Mutable<T> = { -readonly [K in keyof T]: T[K] };

/** The outcome of one request. */
export interface RequestOutcome {
  readonly service: ServiceId;
  readonly account: AccountId;
  readonly result: FailureCode | "ok";
  readonly status: number;
  readonly ms: number;
  /** The service's latency objective, in milliseconds. */
  readonly latencyMs: number;
}

/** Errors and cancellations by the caller, not counted for the objective. */
const EXCLUDED_RESULTS: ReadonlySet<string> = new Set([
  "bad_request",
  "not_found",
  "unauthenticated",
  "forbidden",
  "conflict",
  "value_too_large",
  "cancelled",
]);
const SERVER_ERROR = 500;
const RETAINED_INTERVALS = 3;

/** Counts outcomes and retains the latest intervals. */
export class BurnCounts {
  readonly #rows = new Map<string, Mutable<BurnRow>>();

  /** Counts a request that ended at `wall`, milliseconds since the epoch. */
  record(outcome: RequestOutcome, wall: number): void {
    const { result, status } = outcome;
    if (EXCLUDED_RESULTS.has(result)) return;
    const row = this.#row(outcome, Math.floor(wall / INTERVAL_MS));
    if (result === "rate_exceeded") row.refused += 1;
    else if (result !== "ok") addCause(row, result);
    else if (status >= SERVER_ERROR) addCause(row, `status_${status}`);
    else {
      row.good += 1;
      if (outcome.ms > outcome.latencyMs) row.slow += 1;
    }
  }

  /** Returns the rows of the latest intervals and deletes older ones. */
  rows(wall: number): BurnRow[] {
    const oldest = Math.floor(wall / INTERVAL_MS) - RETAINED_INTERVALS + 1;
    for (const [key, row] of this.#rows) {
      if (row.interval < oldest) this.#rows.delete(key);
    }
    return [...this.#rows.values()];
  }

  #row(outcome: RequestOutcome, interval: number): Mutable<BurnRow> {
    const { service } = outcome;
    const own = `${interval} ${service} ${outcome.account}`;
    const full = !this.#rows.has(own) && this.#rows.size >= MAX_ROWS;
    const account = full ? OTHER_ACCOUNTS : outcome.account;
    const key = `${interval} ${service} ${account}`;
    const known = this.#rows.get(key);
    if (known) return known;
    const row = {
      interval,
      service,
      account,
      good: 0,
      slow: 0,
      refused: 0,
      causes: {},
    };
    this.#rows.set(key, row);
    return row;
  }
}

function addCause(row: Mutable<BurnRow>, cause: string): void {
  row.causes = { ...row.causes, [cause]: (row.causes[cause] ?? 0) + 1 };
}

/** Adds two rows of the same interval, service and account. */
export function addRows(a: BurnRow, b: BurnRow): BurnRow {
  const causes: Record<string, number> = { ...a.causes };
  for (const [cause, n] of Object.entries(b.causes)) {
    causes[cause] = (Object.hasOwn(causes, cause) ? causes[cause] ?? 0 : 0) + n;
  }
  return {
    ...a,
    good: a.good + b.good,
    slow: a.slow + b.slow,
    refused: a.refused + b.refused,
    causes,
  };
}

/** Total of bad requests in a row. */
export function badCount(row: BurnRow): number {
  return Object.values(row.causes).reduce((sum, n) => sum + n, 0);
}
