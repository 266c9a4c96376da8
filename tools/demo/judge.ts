/**
 * Evaluates a run from the records of callers and endpoints only, independently
 * of what the entry instances report.
 *
 * @module
 */
import { TokenBucket } from "../../src/decisions/limits/mod.ts";
import type { RunRecord } from "../standins/endpoint_server.ts";
import type { Deployment, DeploymentAccount } from "./deployments.ts";
import type { EventRecord, SentRecord } from "./records.ts";

/** The records of a run. */
export interface Evidence {
  readonly deployment: Deployment;
  readonly sent: readonly SentRecord[];
  readonly runs: readonly RunRecord[];
  readonly event: EventRecord;
}

/** The evaluation of a run; fields are counts unless named otherwise. */
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
  /** Time from the drain to the end of the last request at a drained endpoint. */
  readonly drain_ms: number | null;
  readonly p50_ms: number;
  readonly p99_ms: number;
  readonly worst_account_ok_ratio: number;
}

const MS_PER_S = 1_000;
const WITHDRAWAL_GRACE_MS = 5_000;
const DRAIN_GRACE_MS = 2_000;
const MAX_REASON_LENGTH = 160;
const MAX_REASONS = 20;

/** Evaluates a run. */
export function judge(evidence: Evidence): Verdict {
  const { sent, runs, event } = evidence;
  const within = withinRate(evidence);
  return {
    ...countResults(sent),
    wrongful_refusals: wrongfulRefusals(evidence, within).length,
    doubled: countDoubled(evidence),
    misdelivered: sent.filter((s) => s.misdelivered).length +
      runs.filter((r) => !r.request.startsWith(`${r.account}/`)).length,
    false_not_run: countFalseNotRun(evidence),
    over_rate: countOverRate(evidence),
    over_slots: runs.filter((r) => r.overSlots).length,
    keys_seen_by_endpoints: runs.filter((r) => r.keySeen).length,
    after_withdrawal: countAfterWithdrawal(runs, event),
    after_drain: afterDrain(runs, event).length,
    drain_ms: drainMs(runs, event),
    ...latencies(sent),
    worst_account_ok_ratio: worstAccountOkRatio(evidence, within),
  };
}

/** Whether a run violated an invariant. */
export function violatesInvariants(v: Verdict): boolean {
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
 * and each refused one that the bucket could have admitted in addition to those.
 * Of an account over its rate, it does not matter which requests are admitted.
 */
function withinRate({ deployment, sent, event }: Evidence): Set<SentRecord> {
  const within = new Set<SentRecord>();
  for (const [account, size] of Object.entries(deployment.accounts)) {
    const own = sent.filter((s) =>
      s.account === account && hadValidKey(s, event)
    )
      .sort((a, b) => a.sentAt - b.sentAt);
    addWithin(own, size, within);
  }
  return within;
}

function hadValidKey(s: SentRecord, event: EventRecord): boolean {
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
    tokens = refill(tokens, s.sentAt - at, size);
    at = s.sentAt;
    const runs = s.result !== "not_run" ||
      couldHaveRun(own, { from: i, tokens, size });
    if (!runs) continue;
    tokens -= 1;
    within.add(s);
  }
}

/** Whether spending a token here leaves enough for all later runs. */
function couldHaveRun(
  own: readonly SentRecord[],
  { from, tokens, size }: {
    from: number;
    tokens: number;
    size: DeploymentAccount;
  },
): boolean {
  let remaining = tokens - 1;
  let at = own[from]?.sentAt ?? 0;
  for (const later of own.slice(from + 1)) {
    if (remaining < 0) return false;
    remaining = refill(remaining, later.sentAt - at, size);
    at = later.sentAt;
    // A full bucket is the same whether or not the token was spent.
    if (remaining >= size.burst) return true;
    if (later.result !== "not_run") remaining -= 1;
  }
  return remaining >= 0;
}

function refill(
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

/** Refusals of requests within rate while some endpoint had a free slot. */
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

/** Counts the reasons why requests were not answered, most frequent first. */
export function countFailureReasons(
  evidence: Evidence,
): Record<string, number> {
  const wrongful = new Set(wrongfulRefusals(evidence, withinRate(evidence)));
  const failed = evidence.sent.filter((s) => s.result !== "answered");
  const counts = countBy(failed, (s) => {
    const result = wrongful.has(s) ? "not_run, wrongly" : s.result;
    return `${result} | ${s.service} | ${s.why}`.slice(0, MAX_REASON_LENGTH);
  });
  const entries = [...counts].sort(([, a], [, b]) => b - a);
  return Object.fromEntries(entries.slice(0, MAX_REASONS));
}

function countDoubled({ sent, runs }: Evidence): number {
  const once = new Set(sent.filter((s) => !s.idempotent).map((s) => s.request));
  const counts = countBy(
    runs.filter((r) => once.has(r.request)),
    (r) => r.request,
  );
  return [...counts.values()].filter((n) => n > 1).length;
}

function countFalseNotRun({ sent, runs }: Evidence): number {
  const ran = new Set(runs.map((r) => r.request));
  return sent.filter((s) => s.result === "not_run" && ran.has(s.request))
    .length;
}

/** Runs beyond rate times time plus burst, by start time at the endpoints. */
function countOverRate({ deployment, runs }: Evidence): number {
  const buckets = bucketsOf(deployment, runs[0]?.startedAt ?? 0);
  const inOrder = [...runs].sort((a, b) => a.startedAt - b.startedAt);
  return inOrder.filter((r) => !buckets.get(r.account)?.take(r.startedAt))
    .length;
}

function countAfterWithdrawal(
  runs: readonly RunRecord[],
  event: EventRecord,
): number {
  const { withdrawnAccount, withdrawnAt } = event;
  if (withdrawnAt === undefined) return 0;
  return runs.filter((r) =>
    r.account === withdrawnAccount &&
    r.startedAt > withdrawnAt + WITHDRAWAL_GRACE_MS
  ).length;
}

function afterDrain(
  runs: readonly RunRecord[],
  event: EventRecord,
): RunRecord[] {
  const { drainedEndpoints, drainedAt } = event;
  if (drainedAt === undefined) return [];
  return runs.filter((r) =>
    drainedEndpoints?.includes(r.endpoint) &&
    r.startedAt > drainedAt + DRAIN_GRACE_MS
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
  const at = (fraction: number) =>
    Math.round(ms[Math.floor(ms.length * fraction)] ?? 0);
  return { p50_ms: at(0.5), p99_ms: at(0.99) };
}

function worstAccountOkRatio(
  { deployment }: Evidence,
  within: ReadonlySet<SentRecord>,
): number {
  const ratios = Object.keys(deployment.accounts).map((account) => {
    const own = [...within].filter((s) => s.account === account);
    const inTime = own.filter((s) =>
      s.result === "answered" && s.endedAt - s.sentAt <= s.timeoutMs
    );
    return own.length === 0 ? 1 : inTime.length / own.length;
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
