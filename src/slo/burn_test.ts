import test from "ava";
import { create } from "@bufbuild/protobuf";
import {
  AccountId,
  ManualClock,
  MemoryMetrics,
  SeededRandom,
  ServiceId,
  SilentLog,
} from "../core/mod.ts";
import { parseDocument, type SteeringDocument } from "../document/mod.ts";
import { BatchSchema, SenderSchema } from "../gen/peer_pb.ts";
import { rendezvousOwner } from "../membership/mod.ts";
import { MemoryPlatform } from "../store/mod.ts";
import { FaultyPlatform } from "../store/testing/mod.ts";
import {
  BurnCounts,
  BurnPublisher,
  burnReport,
  type BurnRow,
  emptySummary,
  INTERVAL_MS,
  INTERVALS_PER_HOUR,
  MAX_ROWS,
  MAX_SUMMARY_BYTES,
  mergeSummary,
  OTHER_ACCOUNTS,
  parseSummary,
  reportHtml,
  reportText,
  type RequestOutcome,
  rowsOf,
  summaryKey,
  WITHIN_RATE,
} from "./mod.ts";

const SERVICE = ServiceId.parse("mapview");
const ACCOUNT = AccountId.parse("a1");
const NOW = 1_000 * INTERVAL_MS;

function outcome(over: Partial<RequestOutcome> = {}): RequestOutcome {
  return {
    service: SERVICE,
    account: ACCOUNT,
    result: "ok",
    status: 200,
    ms: 5,
    latencyMs: 100,
    ...over,
  };
}

function row(over: Partial<BurnRow> = {}): BurnRow {
  return {
    interval: 999,
    service: "mapview",
    account: "a1",
    good: 0,
    slow: 0,
    refused: 0,
    causes: {},
    ...over,
  };
}

function document(): SteeringDocument {
  return parseDocument({
    accounts: { accounts: { a1: {} } },
    rates: { rates: { a1: { rate_per_s: 1, burst: 10 } } },
    services: {
      services: {
        mapview: { objective: { availability: 0.99, latency_ratio: 0.9 } },
      },
    },
  })._unsafeUnwrap();
}

const COUNT_CASES: [string, Partial<RequestOutcome>, Partial<BurnRow>][] = [
  ["a quick answer is good", {}, { good: 1 }],
  ["a slow answer is good and slow", { ms: 101 }, { good: 1, slow: 1 }],
  [
    "an error of the service is bad",
    { status: 502 },
    { causes: { status_502: 1 } },
  ],
  ["a client error status from the endpoint is good", { status: 404 }, {
    good: 1,
  }],
  [
    "a request refused for lack of capacity is bad",
    { result: "no_capacity" },
    { causes: { no_capacity: 1 } },
  ],
  [
    "a request above the account's rate is refused",
    { result: "rate_exceeded" },
    { refused: 1 },
  ],
];

for (const [name, over, expected] of COUNT_CASES) {
  test(`counted: ${name}`, (t) => {
    const counts = new BurnCounts();
    counts.record(outcome(over), NOW);
    t.deepEqual(counts.rows(NOW), [row({ interval: 1_000, ...expected })]);
  });
}

test("cancelled and invalid requests are not counted", (t) => {
  const counts = new BurnCounts();
  for (const result of ["cancelled", "bad_request", "not_found"] as const) {
    counts.record(outcome({ result }), NOW);
  }
  t.deepEqual(counts.rows(NOW), []);
});

test("the number of rows is bounded for any number of accounts", (t) => {
  // Requests arrive for very many accounts. A row for each would exhaust the
  // memory of every instance and the size of the zone's summary.
  const counts = new BurnCounts();
  for (let i = 0; i < MAX_ROWS + 500; i++) {
    counts.record(outcome({ account: AccountId.parse(`a${i}`) }), NOW);
  }
  const rows = counts.rows(NOW);
  t.is(rows.length, MAX_ROWS + 1);
  t.is(rows.find((r) => r.account === OTHER_ACCOUNTS)?.good, 500);
  t.deepEqual(counts.rows(NOW + 3 * INTERVAL_MS), []);
});

test("burn rates, budget, causes and alerts", (t) => {
  const rows = [row({ interval: 999, good: 80, slow: 20, causes: { x: 20 } })];
  const report = burnReport({ rows, document: document(), wall: NOW });
  const entry = report.entries.find((e) => e.account === "a1");
  const hour = entry?.windows.find((w) => w.window === "1h");
  t.is(hour?.availabilityBurn.toFixed(6), "20.000000");
  t.is(hour?.latencyBurn.toFixed(6), "2.500000");
  t.deepEqual(entry?.causes, [["x", 20]]);
  t.deepEqual(entry?.alerts, ["5m/1h", "30m/6h", "6h/3d"]);
  t.is(entry?.budgetLeft.toFixed(6), "-19.000000");
});

test("past failures burn the long window but no longer alert", (t) => {
  const rows = [
    row({ interval: 985, good: 0, causes: { x: 50 } }),
    row({ interval: 999, good: 50 }),
  ];
  const report = burnReport({ rows, document: document(), wall: NOW });
  const entry = report.entries.find((e) => e.account === "a1");
  t.false(entry?.alerts.includes("5m/1h"));
  t.true((entry?.windows.find((w) => w.window === "6h")?.bad ?? 0) > 0);
});

test("a refusal within the rate burns budget, one above it does not", (t) => {
  // An instance refuses by its own share; only the sum over all instances shows
  // whether the account exceeded its rate, here 310 requests per interval.
  const within = [
    row({ good: 200, refused: 50 }),
    row({ good: 30, refused: 5 }),
  ];
  const above = [row({ good: 290, refused: 400 })];
  const causes = (rows: BurnRow[]) =>
    burnReport({ rows, document: document(), wall: NOW }).entries[0]?.causes;
  t.deepEqual(causes(within), [[WITHIN_RATE, 55]]);
  t.deepEqual(causes(above), []);
});

test("text and HTML show the same data, and the HTML is self-contained", (t) => {
  const rows = [row({ good: 50, causes: { "<script>": 50 } })];
  const report = burnReport({ rows, document: document(), wall: NOW });
  t.regex(reportText(report), /mapview a1 {2}budget left .*ALERT 5m\/1h/);
  const html = reportHtml(report);
  t.regex(html, /<svg .*<polyline/s);
  t.notRegex(html, /<script>|<link|src=/);
});

function zone() {
  const clock = new ManualClock();
  clock.advance(NOW);
  const store = new MemoryPlatform(clock);
  const platform = new FaultyPlatform(store, clock);
  const names = ["i1", "i2", "i3"];
  const publishers = names.map((instance, i) =>
    new BurnPublisher({
      platform,
      clock,
      random: new SeededRandom(i),
      metrics: new MemoryMetrics(),
      log: new SilentLog(),
      self: { instance, zone: "gulf-a", incarnation: "1" },
      zonePeers: () =>
        names.filter((n) => n !== instance).map((n) => ({ instance: n })),
    })
  );
  const holder = names.indexOf(rendezvousOwner("burn gulf-a", names) ?? "");
  const sendReport = (from: number, to: number) => {
    const sender = create(SenderSchema, {
      instance: names[from] ?? "",
      zone: "gulf-a",
      incarnation: "1",
    });
    const batch = create(BatchSchema, { sender });
    publishers[from]?.fill(batch, names[to] ?? "");
    publishers[to]?.receive(batch, sender);
    return batch;
  };
  const stored = async () => {
    const found = await store.get(summaryKey("gulf-a", Math.floor(1_000 / 12)));
    const text = found._unsafeUnwrap()?.value ?? "";
    return rowsOf(
      parseSummary(text) ??
        { zone: "", hour: 0, writers: {}, truncated: false },
    );
  };
  return { clock, platform, publishers, holder, sendReport, stored };
}

test("only the zone's writer writes the counts of its instances", async (t) => {
  const { clock, platform, publishers, holder, sendReport, stored } = zone();
  for (const p of publishers) p.counts.record(outcome(), clock.wall());
  for (const from of [0, 1, 2]) if (from !== holder) sendReport(from, holder);
  clock.advance(80_000);
  for (const p of publishers) p.run(clock.now());
  await new Promise((resolve) => setImmediate(resolve));
  const rows = await stored();
  t.is(rows.reduce((sum, r) => sum + r.good, 0), 3);
  t.is(platform.calls.get("put"), 1);
});

test("a repeated message and a write with a lost response count once", async (t) => {
  // The network repeats a message and the store's response is lost, so the same
  // rows are written again. Counting them twice would report false burn.
  const { clock, platform, publishers, holder, sendReport, stored } = zone();
  const other = (holder + 1) % 3;
  publishers[other]?.counts.record(outcome(), clock.wall());
  const batch = sendReport(other, holder);
  platform.faults.loseAnswers = "applied";
  await publishers[holder]?.flush();
  platform.faults.loseAnswers = "none";
  publishers[holder]?.receive(batch, batch.sender ?? create(SenderSchema));
  await publishers[holder]?.flush();
  await publishers[other]?.flush();
  t.is((await stored()).reduce((sum, r) => sum + r.good, 0), 1);
});

test("counts from a store outage are written by the next write", async (t) => {
  const { clock, platform, publishers, stored } = zone();
  publishers[0]?.counts.record(outcome(), clock.wall());
  platform.faults.down = true;
  await publishers[0]?.flush();
  platform.faults.down = false;
  await publishers[0]?.flush();
  t.is((await stored()).length, 1);
});

test("a full summary omits further rows and is marked as truncated", (t) => {
  // With very many instances and accounts, a summary beyond the store's limit
  // of one megabyte could not be written, and the zone's counts would be lost.
  const rows = (n: number) =>
    Array.from({ length: n }, (_, i) => row({ account: `account-${i}` }));
  const writers = new Map([["i1/1", rows(12_000)], ["i2/1", rows(12_000)]]);
  const hour = Math.floor(999 / INTERVALS_PER_HOUR);
  const merged = mergeSummary(emptySummary("gulf-a", hour), writers);
  t.true(merged.truncated);
  t.deepEqual(Object.keys(merged.writers), ["i1/1"]);
  t.true(JSON.stringify(merged).length <= MAX_SUMMARY_BYTES);
});

test("rows of a sender with a wrong clock are dropped", async (t) => {
  // An instance's clock is a day ahead. Its rows would occupy the ring entries
  // of later hours, whose counts would then be dropped.
  const { clock, publishers, holder, sendReport, stored } = zone();
  const other = (holder + 1) % 3;
  publishers[other]?.counts.record(outcome(), clock.wall() + 86_400_000);
  sendReport(other, holder);
  await publishers[holder]?.flush();
  t.deepEqual(await stored(), []);
});
