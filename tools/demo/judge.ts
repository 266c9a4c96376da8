/**
 * Judges a run by what callers and endpoints recorded; the entry instances are
 * not asked.
 *
 * @module
 */
import { TokenBucket } from "../../src/decisions/limits/mod.ts";
import type { RunRecord } from "../standins/endpoint_server.ts";
import type { Deployment, DeploymentAccount } from "./deployments.ts";
import type { EventRecord, SentRecord } from "./records.ts";

/** All that is judged. */
export interface Evidence {
  readonly deployment: Deployment;
  readonly sent: readonly SentRecord[];
  readonly runs: readonly RunRecord[];
  readonly event: EventRecord;
}

/** The judgement; counts unless named otherwise. */
export interface Verdict {
  readonly sent: number;
  readonly answered: number;
  readonly not_run: number;
  readonly unknown: number;
  readonly wrongful_refusals: number;
  readonly doubled: number;
  readonly misdelivered: number;
  readonly lost: number;
  readonly false_not_run: number;
  readonly over_rate: number;
  readonly over_slots: number;
  readonly keys_seen_by_endpoints: number;
  readonly after_withdrawal: number;
  readonly after_drain: number;
  /** Time from the drain to the end of the last request there. */
  readonly drain_ms: number | null;
  readonly p50_ms: number;
  readonly p99_ms: number;
  readonly worst_account_ok_ratio: number;
}

const MS_PER_S = 1_000;
const WITHDRAWAL_MS = 5_000;
const DRAIN_MS = 2_000;
const MAX_REASON = 160;
const MAX_REASONS = 20;

/** Judges a run. */
export function judge(evidence: Evidence): Verdict {
  const { sent, runs, event } = evidence;
  const within = withinRate(evidence);
  return {
    ...countResults(sent),
    wrongful_refusals: wrongfulRefusals(evidence, within).length,
    doubled: doubled(evidence),
    misdelivered: sent.filter((s) => s.misdelivered).length +
      runs.filter((r) => !r.request.startsWith(`${r.account}/`)).length,
    false_not_run: falseNotRun(evidence),
    over_rate: overRate(evidence),
    over_slots: runs.filter((r) => r.overSlots).length,
    keys_seen_by_endpoints: runs.filter((r) => r.keySeen).length,
    after_withdrawal: afterWithdrawal(runs, event),
    after_drain: afterDrain(runs, event).length,
    drain_ms: drainMs(runs, event),
    ...latencies(sent),
    worst_account_ok_ratio: worstRatio(evidence, within),
  };
}

/** Whether a run broke what must always hold. */
export function broken(v: Verdict): boolean {
  return v.doubled + v.misdelivered + v.over_rate + v.over_slots +
      v.keys_seen_by_endpoints + v.false_not_run > 0;
}

function countResults(sent: readonly SentRecord[]) {
  const count = (result: string) =>
    sent.filter((s) => s.result === result).length;
  return {
    sent: sent.length,
    answered: count("answered"),
    not_run: count("not_run"),
    unknown: count("unknown"),
    lost: count("lost"),
  };
}

/**
 * Requests within their account's rate and burst: all that were not refused,
 * and each refused one that could have run beside all that did. Which of two
 * equal requests of an account over its rate is let in does not matter.
 */
function withinRate({ deployment, sent, event }: Evidence): Set<SentRecord> {
  const within = new Set<SentRecord>();
  for (const [account, size] of Object.entries(deployment.accounts)) {
    const own = sent.filter((s) => s.account === account && hadKey(s, event))
      .sort((a, b) => a.sentAt - b.sentAt);
    addWithin(own, size, within);
  }
  return within;
}

function hadKey(s: SentRecord, event: EventRecord): boolean {
  return s.account !== event.withdrawnAccount ||
    s.endedAt < (event.withdrawnAt ?? 0);
}

function addWithin(
  own: readonly SentRecord[],
  size: DeploymentAccount,
  within: Set<SentRecord>,
): void {
  let tokens = size.burst;
  let at = own[0]?.sentAt ?? 0;
  for (const [i, s] of own.entries()) {
    tokens = fill(tokens, s.sentAt - at, size);
    at = s.sentAt;
    const runs = s.result !== "not_run" || fits(own, { from: i, tokens, size });
    if (!runs) continue;
    tokens -= 1;
    within.add(s);
  }
}

/** Whether a token spent here is missing to nothing that did run later. */
function fits(
  own: readonly SentRecord[],
  { from, tokens, size }: {
    from: number;
    tokens: number;
    size: DeploymentAccount;
  },
): boolean {
  let left = tokens - 1;
  let at = own[from]?.sentAt ?? 0;
  for (const later of own.slice(from + 1)) {
    if (left < 0) return false;
    left = fill(left, later.sentAt - at, size);
    at = later.sentAt;
    // A full bucket is the same whether or not the token was spent.
    if (left >= size.burst) return true;
    if (later.result !== "not_run") left -= 1;
  }
  return left >= 0;
}

function fill(
  tokens: number,
  elapsedMs: number,
  { ratePerS, burst }: DeploymentAccount,
): number {
  return Math.min(burst, tokens + elapsedMs / MS_PER_S * ratePerS);
}

function bucketsOf(
  deployment: Deployment,
  now: number,
): Map<string, TokenBucket> {
  return new Map(
    Object.entries(deployment.accounts).map((
      [id, size],
    ) => [id, new TokenBucket(size, now, size.burst)]),
  );
}

/** Refusals of requests within rate, while some endpoint had a slot free. */
function wrongfulRefusals(
  { deployment, runs }: Evidence,
  within: ReadonlySet<SentRecord>,
): SentRecord[] {
  const refused = [...within].filter((s) => s.result === "not_run");
  return refused.filter((s) => {
    const service = deployment.services[s.service];
    const slots = (service?.targets ?? 0) * (service?.slots ?? 0);
    const busy = runs.filter((r) =>
      r.service === s.service && r.startedAt <= s.endedAt &&
      r.endedAt > s.endedAt
    );
    return busy.length < slots;
  });
}

/** What kept requests from being answered, the most frequent first. */
export function explain(evidence: Evidence): Record<string, number> {
  const wrongful = new Set(wrongfulRefusals(evidence, withinRate(evidence)));
  const failed = evidence.sent.filter((s) => s.result !== "answered");
  const counts = countBy(failed, (s) => {
    const result = wrongful.has(s) ? "not_run, wrongly" : s.result;
    return `${result} | ${s.service} | ${s.why}`.slice(0, MAX_REASON);
  });
  const entries = [...counts].sort(([, a], [, b]) => b - a);
  return Object.fromEntries(entries.slice(0, MAX_REASONS));
}

function doubled({ sent, runs }: Evidence): number {
  const once = new Set(sent.filter((s) => !s.idempotent).map((s) => s.request));
  const counts = countBy(
    runs.filter((r) => once.has(r.request)),
    (r) => r.request,
  );
  return [...counts.values()].filter((n) => n > 1).length;
}

function falseNotRun({ sent, runs }: Evidence): number {
  const ran = new Set(runs.map((r) => r.request));
  return sent.filter((s) => s.result === "not_run" && ran.has(s.request))
    .length;
}

/** Runs beyond rate times time plus burst, as the endpoints saw them start. */
function overRate({ deployment, runs }: Evidence): number {
  const buckets = bucketsOf(deployment, runs[0]?.startedAt ?? 0);
  const inOrder = [...runs].sort((a, b) => a.startedAt - b.startedAt);
  return inOrder.filter((r) => !buckets.get(r.account)?.take(r.startedAt))
    .length;
}

function afterWithdrawal(
  runs: readonly RunRecord[],
  event: EventRecord,
): number {
  const { withdrawnAccount, withdrawnAt } = event;
  if (withdrawnAt === undefined) return 0;
  return runs.filter((r) =>
    r.account === withdrawnAccount && r.startedAt > withdrawnAt + WITHDRAWAL_MS
  ).length;
}

function afterDrain(
  runs: readonly RunRecord[],
  event: EventRecord,
): RunRecord[] {
  const { drainedEndpoints, drainedAt } = event;
  if (drainedAt === undefined) return [];
  return runs.filter((r) =>
    drainedEndpoints?.includes(r.endpoint) && r.startedAt > drainedAt + DRAIN_MS
  );
}

function drainMs(
  runs: readonly RunRecord[],
  event: EventRecord,
): number | null {
  const { drainedEndpoints, drainedAt } = event;
  if (drainedAt === undefined) return null;
  const ends = runs.filter((r) => drainedEndpoints?.includes(r.endpoint))
    .map((r) => r.endedAt - drainedAt);
  return Math.max(0, ...ends);
}

function latencies(sent: readonly SentRecord[]) {
  const ms = sent.filter((s) => s.result === "answered")
    .map((s) => s.endedAt - s.sentAt).sort((a, b) => a - b);
  const at = (part: number) =>
    Math.round(ms[Math.floor(ms.length * part)] ?? 0);
  return { p50_ms: at(0.5), p99_ms: at(0.99) };
}

function worstRatio(
  { deployment }: Evidence,
  within: ReadonlySet<SentRecord>,
): number {
  const ratios = Object.keys(deployment.accounts).map((account) => {
    const own = [...within].filter((s) => s.account === account);
    const good = own.filter((s) =>
      s.result === "answered" && s.endedAt - s.sentAt <= s.timeoutMs
    );
    return own.length === 0 ? 1 : good.length / own.length;
  });
  return Math.round(Math.min(...ratios) * 10_000) / 10_000;
}

function countBy<T>(
  items: readonly T[],
  key: (item: T) => string,
): Map<string, number> {
  const counts = new Map<string, number>();
  for (const item of items) {
    counts.set(key(item), (counts.get(key(item)) ?? 0) + 1);
  }
  return counts;
}
