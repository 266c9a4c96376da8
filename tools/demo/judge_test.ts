import test from "ava";
import type { RunRecord } from "../standins/endpoint_server.ts";
import type { Deployment } from "./deployments.ts";
import { type Evidence, judge, violatesInvariants } from "./judge.ts";
import type { EventRecord, SentRecord } from "./records.ts";

const DEPLOYMENT: Deployment = {
  regions: { r: ["z"] },
  instancesPerZone: 1,
  linkMbit: 1,
  connections: 10,
  services: {
    s: { targets: 1, slots: 1, idempotent: false, workMs: 10, mix: 1 },
  },
  accounts: { a: { ratePerS: 10, burst: 2 } },
};

function sent(request: string, over: Partial<SentRecord> = {}): SentRecord {
  return {
    account: "a",
    service: "s",
    request: `a/${request}`,
    idempotent: false,
    sentAt: 0,
    endedAt: 10,
    timeoutMs: 100,
    result: "answered",
    misdelivered: false,
    why: "",
    ...over,
  };
}

function ran(request: string, over: Partial<RunRecord> = {}): RunRecord {
  return {
    endpoint: "s-1",
    service: "s",
    account: "a",
    request: `a/${request}`,
    startedAt: 1,
    endedAt: 9,
    overSlots: false,
    keySeen: false,
    ...over,
  };
}

interface Case {
  readonly name: string;
  readonly sent: SentRecord[];
  readonly runs: RunRecord[];
  readonly event?: EventRecord;
  readonly expect: Record<string, number | null>;
  readonly broken: boolean;
}

const CASES: Case[] = [
  {
    name: "a run without violations",
    sent: [sent("1")],
    runs: [ran("1")],
    expect: { answered: 1, p50_ms: 10, worst_account_ok_ratio: 1 },
    broken: false,
  },
  {
    name: "one request ran twice",
    sent: [sent("1")],
    runs: [ran("1"), ran("1", { endpoint: "s-2" })],
    expect: { doubled: 1 },
    broken: true,
  },
  {
    name: "an idempotent request may run twice",
    sent: [sent("1", { idempotent: true })],
    runs: [ran("1"), ran("1")],
    expect: { doubled: 0 },
    broken: false,
  },
  {
    name: "a request reported as not run that did run",
    sent: [sent("1", { result: "not_run" })],
    runs: [ran("1")],
    expect: { false_not_run: 1 },
    broken: true,
  },
  {
    name: "an endpoint ran a request for an account other than the caller's",
    sent: [sent("1")],
    runs: [ran("1", { account: "b" })],
    expect: { misdelivered: 1 },
    broken: true,
  },
  {
    name: "three runs at once where rate and burst allow two",
    sent: [],
    runs: [ran("1"), ran("2"), ran("3")],
    expect: { over_rate: 1 },
    broken: true,
  },
  {
    name: "a refusal within rate while a slot was free",
    sent: [sent("1", { result: "not_run" })],
    runs: [],
    expect: { wrongful_refusals: 1, worst_account_ok_ratio: 0 },
    broken: false,
  },
  {
    name: "a refusal while every slot was in use",
    sent: [sent("1", { result: "not_run" })],
    runs: [ran("2", { endedAt: 50 })],
    expect: { wrongful_refusals: 0 },
    broken: false,
  },
  {
    name: "a refusal above the rate",
    sent: [sent("1"), sent("2"), sent("3", { result: "not_run" })],
    runs: [ran("1"), ran("2")],
    expect: { wrongful_refusals: 0, worst_account_ok_ratio: 1 },
    broken: false,
  },
  {
    name: "a refusal before requests that used up the burst",
    sent: [sent("1", { result: "not_run" }), sent("2"), sent("3")],
    runs: [ran("2"), ran("3")],
    expect: { wrongful_refusals: 0, worst_account_ok_ratio: 1 },
    broken: false,
  },
  {
    name: "a refusal before a request that left a token unused",
    sent: [sent("1", { result: "not_run" }), sent("2")],
    runs: [ran("2")],
    expect: { wrongful_refusals: 1, worst_account_ok_ratio: 0.5 },
    broken: false,
  },
  {
    name: "a refusal whose token would have been refilled in time",
    sent: [
      sent("1", { result: "not_run" }),
      sent("2", { sentAt: 1_000, endedAt: 1_010 }),
      sent("3", { sentAt: 1_000, endedAt: 1_010 }),
    ],
    runs: [ran("2", { startedAt: 1_001 }), ran("3", { startedAt: 1_001 })],
    expect: { wrongful_refusals: 1 },
    broken: false,
  },
  {
    name: "a run more than five seconds after its key was withdrawn",
    sent: [],
    runs: [ran("1", { startedAt: 5_002 })],
    event: { withdrawnAccount: "a", withdrawnAt: 1 },
    expect: { after_withdrawal: 1 },
    broken: false,
  },
  {
    name: "a run at an endpoint more than two seconds after its drain",
    sent: [],
    runs: [ran("1", { startedAt: 2_101, endedAt: 2_200 })],
    event: { drainedEndpoints: ["s-1"], drainedAt: 100 },
    expect: { after_drain: 1, drain_ms: 2_100 },
    broken: false,
  },
];

for (const c of CASES) {
  test(`evaluation: ${c.name}`, (t) => {
    const evidence: Evidence = {
      deployment: DEPLOYMENT,
      sent: c.sent,
      runs: c.runs,
      event: c.event ?? {},
    };
    const verdict = judge(evidence);
    for (const [field, value] of Object.entries(c.expect)) {
      t.is(verdict[field as keyof typeof verdict], value, field);
    }
    t.is(violatesInvariants(verdict), c.broken);
  });
}
