/**
 * Multi-window burn rates per service and client account, as in the Site
 * Reliability Workbook, chapter 5. A short window beside a long one keeps an
 * alert from firing on a brief error spike and from lasting after recovery.
 *
 * @module
 */
import type { SteeringDocument } from "../document/mod.ts";
import { addRows, badCount, type BurnRow, INTERVAL_MS } from "./counts.ts";

/** A window, in milliseconds. */
export interface BurnWindow {
  readonly name: string;
  readonly ms: number;
}

const MINUTE_MS = 60_000;
const HOUR_MS = 60 * MINUTE_MS;

/** The windows that burn rates are reported for. */
export const WINDOWS: readonly BurnWindow[] = [
  { name: "5m", ms: 5 * MINUTE_MS },
  { name: "30m", ms: 30 * MINUTE_MS },
  { name: "1h", ms: HOUR_MS },
  { name: "6h", ms: 6 * HOUR_MS },
  { name: "3d", ms: 72 * HOUR_MS },
];

/**
 * Pairs of windows and the burn rate that both must exceed for an alert, as in
 * the workbook: 2 % of a month's budget in an hour, 5 % in six hours, 10 % in
 * three days.
 */
export const ALERTS = [
  { short: "5m", long: "1h", threshold: 14.4 },
  { short: "30m", long: "6h", threshold: 6 },
  { short: "6h", long: "3d", threshold: 1 },
] as const;

/** Counts and burn rates of one window. */
export interface WindowBurn {
  readonly window: string;
  readonly good: number;
  readonly bad: number;
  readonly slow: number;
  /** At 1 the error budget is used exactly as fast as the objective allows. */
  readonly availabilityBurn: number;
  readonly latencyBurn: number;
}

/** A plotted point: an interval's start and its two burn rates. */
export interface BurnPoint {
  readonly at: number;
  readonly availabilityBurn: number;
  readonly latencyBurn: number;
}

/** Burn of one account at one service; account `*` means all accounts. */
export interface BurnEntry {
  readonly service: string;
  readonly account: string;
  readonly windows: readonly WindowBurn[];
  /** Fraction of three days' error budget left; negative if overspent. */
  readonly budgetLeft: number;
  /** Bad requests of three days by failure code, most frequent first. */
  readonly causes: readonly (readonly [string, number])[];
  /** Pairs of windows above their threshold, such as `5m/1h`. */
  readonly alerts: readonly string[];
  readonly points: readonly BurnPoint[];
}

/** The whole report. */
export interface BurnReport {
  readonly at: number;
  readonly entries: readonly BurnEntry[];
  /** Zones whose summaries omit rows because of the size limit. */
  readonly truncated: readonly string[];
}

/** Input of a report. */
export interface BurnInput {
  readonly rows: readonly BurnRow[];
  readonly document: SteeringDocument;
  /** Now, in milliseconds since the Unix epoch. */
  readonly wall: number;
  readonly truncated?: readonly string[];
}

/** Cause of a refusal while the account was within its rate in total. */
export const WITHIN_RATE = "refused_within_rate";
const ALL_ACCOUNTS = "*";
const DEFAULT_OBJECTIVE = {
  availability: 0.999,
  latency_ms: 500,
  latency_ratio: 0.99,
};

/**
 * Builds the report.
 *
 * @example
 * ```ts
 * const report = burnReport({ rows, document, wall: Date.now() });
 * ```
 */
export function burnReport(input: BurnInput): BurnReport {
  const rows = reclassifyRefusals(sumRows(input.rows), input);
  const groups = new Map<string, BurnRow[]>();
  for (const row of rows) {
    for (const account of [ALL_ACCOUNTS, row.account]) {
      const key = `${row.service} ${account}`;
      groups.set(key, [...groups.get(key) ?? [], row]);
    }
  }
  const entries = [...groups].sort(([a], [b]) => a < b ? -1 : 1)
    .map(([key, group]) => buildEntry(key, group, input));
  return { at: input.wall, entries, truncated: input.truncated ?? [] };
}

/** Sums rows of all instances and zones by interval, service and account. */
function sumRows(rows: readonly BurnRow[]): BurnRow[] {
  const sums = new Map<string, BurnRow>();
  for (const row of rows) {
    const key = `${row.interval} ${row.service} ${row.account}`;
    const existing = sums.get(key);
    sums.set(key, existing === undefined ? row : addRows(existing, row));
  }
  return [...sums.values()];
}

/**
 * Counts refusals as bad if all that the account sent in the interval, to all
 * services and instances, was within its rate and burst; a single instance
 * cannot tell. Over five minutes, a burst rightly refused in an otherwise quiet
 * interval counts as bad too.
 */
function reclassifyRefusals(rows: BurnRow[], input: BurnInput): BurnRow[] {
  const offered = new Map<string, number>();
  const key = (row: BurnRow) => `${row.interval} ${row.account}`;
  for (const row of rows) {
    const sent = row.good + badCount(row) + row.refused;
    offered.set(key(row), (offered.get(key(row)) ?? 0) + sent);
  }
  return rows.map((row) => {
    const allowed = maxRequests(row, input);
    const wrongful = row.refused > 0 && allowed !== undefined &&
      (offered.get(key(row)) ?? 0) <= allowed;
    if (!wrongful) return row;
    const causes = { ...row.causes, [WITHIN_RATE]: row.refused };
    return { ...row, causes };
  });
}

function maxRequests(row: BurnRow, input: BurnInput): number | undefined {
  const rates = input.document.rates as Readonly<
    Record<string, { readonly rate_per_s: number; readonly burst: number }>
  >;
  const rate = rates[row.account];
  if (rate === undefined) return undefined;
  const passed = input.wall - row.interval * INTERVAL_MS;
  const ms = Math.min(INTERVAL_MS, Math.max(0, passed));
  return rate.rate_per_s * ms / 1_000 + rate.burst;
}

function buildEntry(
  key: string,
  rows: readonly BurnRow[],
  { document, wall }: BurnInput,
): BurnEntry {
  const [service = "", account = ""] = key.split(" ");
  const services = document.services as Readonly<
    Record<string, { readonly objective: typeof DEFAULT_OBJECTIVE }>
  >;
  const objective = services[service]?.objective ?? DEFAULT_OBJECTIVE;
  const windows = WINDOWS.map(({ name, ms }) => {
    // The interval in which the window begins counts in full.
    const from = Math.floor((wall - ms) / INTERVAL_MS);
    const inside = rows.filter((r) => r.interval >= from);
    return { window: name, ...burnRates(inside, objective) };
  });
  const longest = windows.at(-1);
  return {
    service,
    account,
    windows,
    budgetLeft: 1 - (longest?.availabilityBurn ?? 0),
    causes: causesOf(rows, wall),
    alerts: alertsOf(windows),
    points: pointsOf(rows, objective),
  };
}

function burnRates(
  rows: readonly BurnRow[],
  objective: typeof DEFAULT_OBJECTIVE,
): Omit<WindowBurn, "window"> {
  const good = rows.reduce((sum, r) => sum + r.good, 0);
  const bad = rows.reduce((sum, r) => sum + badCount(r), 0);
  const slow = rows.reduce((sum, r) => sum + r.slow, 0);
  return {
    good,
    bad,
    slow,
    availabilityBurn: ratio(bad, good + bad) / (1 - objective.availability),
    latencyBurn: ratio(slow, good) / (1 - objective.latency_ratio),
  };
}

function ratio(part: number, whole: number): number {
  return whole === 0 ? 0 : part / whole;
}

function causesOf(
  rows: readonly BurnRow[],
  wall: number,
): (readonly [string, number])[] {
  const from = Math.floor((wall - 72 * HOUR_MS) / INTERVAL_MS);
  const sums = new Map<string, number>();
  for (const row of rows.filter((r) => r.interval >= from)) {
    for (const [cause, n] of Object.entries(row.causes)) {
      sums.set(cause, (sums.get(cause) ?? 0) + n);
    }
  }
  return [...sums].sort(([, a], [, b]) => b - a);
}

function alertsOf(windows: readonly WindowBurn[]): string[] {
  const burn = (name: string) => {
    const found = windows.find((w) => w.window === name);
    return Math.max(found?.availabilityBurn ?? 0, found?.latencyBurn ?? 0);
  };
  return ALERTS
    .filter((a) => burn(a.short) > a.threshold && burn(a.long) > a.threshold)
    .map((a) => `${a.short}/${a.long}`);
}

function pointsOf(
  rows: readonly BurnRow[],
  objective: typeof DEFAULT_OBJECTIVE,
): BurnPoint[] {
  const byInterval = new Map<number, BurnRow[]>();
  for (const row of rows) {
    byInterval.set(row.interval, [...byInterval.get(row.interval) ?? [], row]);
  }
  return [...byInterval].sort(([a], [b]) => a - b).map(([interval, group]) => {
    const { availabilityBurn, latencyBurn } = burnRates(group, objective);
    return { at: interval * INTERVAL_MS, availabilityBurn, latencyBurn };
  });
}
