/**
 * Measures wrongful refusals in virtual time, that is, requests refused although
 * their account was within its rate and burst, and compares them with a fixed
 * split of the rate.
 *
 * Usage: `npm run budgets:refusals -- --seconds 60 --seed 1 --load 0.8`
 *
 * @module
 */
import process from "node:process";
import { parseArgs } from "node:util";
import { type AccountId, SeededRandom } from "../../src/core/mod.ts";
import {
  FixedSplitLimiter,
  TokenBucket,
} from "../../src/decisions/limits/mod.ts";
import {
  BudgetFleet,
  type FleetNode,
} from "../../src/instance/testing/budget_fleet.ts";
import { DEPLOYMENTS } from "../demo/deployments.ts";
import { type Scenario, SCENARIOS } from "./scenarios.ts";

const { values: opts } = parseArgs({
  options: {
    seconds: { type: "string", default: "60" },
    seed: { type: "string", default: "1" },
    load: { type: "string", default: "0.8" },
    only: { type: "string", default: "" },
  },
});

const MS_PER_S = 1_000;
const WARM_UP_MS = 10_000;
const TIMEOUT_MS = 1_000;
const ZONE_DELAY_MS = 1;
const REGION_DELAY_MS = 12;
const deployment = DEPLOYMENTS.kuratori;
const accounts = Object.entries(deployment.accounts);

interface Tally {
  scenario: string;
  requests: number;
  within: number;
  refused: number;
  /** Refusals in the first second of the measurement. */
  refused_first_s: number;
  refused_fixed: number;
  by_account: Record<string, number>;
  /** Requests admitted beyond what one fleet-wide token bucket would allow. */
  over_rate: number;
  waited: number;
  wait_p99_ms: number;
  wait_max_ms: number;
}

const tallies: Tally[] = [];
for (const scenario of SCENARIOS) {
  if (!scenario.name.includes(opts.only)) continue;
  tallies.push(await measure(scenario));
}
console.table(tallies.map(({ by_account: _, ...rest }) => rest));
const maxOf = (of: (t: Tally) => number) => Math.max(...tallies.map(of));
console.log(JSON.stringify({
  seed: Number(opts.seed),
  load: Number(opts.load),
  seconds: Number(opts.seconds),
  scenarios: tallies.map((t) => ({
    ...t,
    refused_pct: percent(t.refused, t.within),
    fixed_pct: percent(t.refused_fixed, t.within),
  })),
}));
process.exitCode = maxOf((t) => t.over_rate) > 0 ? 1 : 0;

async function measure(scenario: Scenario): Promise<Tally> {
  const random = new SeededRandom(Number(opts.seed));
  const fleet = makeFleet();
  const fixedLimiters = new Map(
    fleet.nodes.map((n) => [n, fixedLimiter(fleet, n)] as const),
  );
  await fleet.time.advance(WARM_UP_MS);
  const from = fleet.time.now;
  const end = from + Number(opts.seconds) * MS_PER_S;
  const tally = newTally(scenario.name);
  const waits: number[] = [];
  for (const event of scenario.events ?? []) {
    fleet.time.after(event.atMs, () => event.run(fleet));
  }
  accounts.forEach(([account, size], index) => {
    const reference = new TokenBucket(size, from, size.burst);
    const gap = () =>
      -Math.log(1 - random.next()) * MS_PER_S /
      (size.ratePerS * Number(opts.load));
    const next = () => {
      const now = fleet.time.now;
      if (now >= end) return;
      const route = scenario.route(now - from);
      const node = route(index, fleet.live(), random);
      if (node) send(node, { account, within: reference.take(now) });
      fleet.time.after(gap(), next);
    };
    fleet.time.after(gap(), next);
  });
  function send(
    node: FleetNode,
    { account, within }: { account: string; within: boolean },
  ): void {
    const at = fleet.time.now;
    tally.requests += 1;
    if (within) tally.within += 1;
    void fixedLimiters.get(node)?.take(account as AccountId).then((r) => {
      if (within && r.isErr()) tally.refused_fixed += 1;
    });
    void fleet.request(node, account, TIMEOUT_MS)?.then((r) => {
      const waited = fleet.time.now - at;
      if (waited > 0) waits.push(waited);
      if (!within || r.isOk()) return;
      tally.refused += 1;
      tally.by_account[account] = (tally.by_account[account] ?? 0) + 1;
      if (at - from < MS_PER_S) tally.refused_first_s += 1;
    });
  }
  await fleet.time.advance(end - from + TIMEOUT_MS);
  tally.over_rate = accounts
    .reduce((n, [account]) => n + fleet.countOverRate(account), 0);
  waits.sort((a, b) => a - b);
  tally.waited = waits.length;
  tally.wait_p99_ms = Math.round(waits[Math.floor(waits.length * 0.99)] ?? 0);
  tally.wait_max_ms = Math.round(waits[waits.length - 1] ?? 0);
  return tally;
}

function makeFleet(): BudgetFleet {
  const zones = Object.values(deployment.regions).flat();
  return new BudgetFleet(Number(opts.seed), {
    zones: Object.fromEntries(zones.map((zone) => [zone, 2])),
    rates: Object.fromEntries(accounts.map(([id, a]) => [
      id,
      { rate_per_s: a.ratePerS, burst: a.burst },
    ])),
    slots: 9,
    deadlineMs: 2_000,
  }, {
    useLeasedSeats: true,
    delayMs: (a, b) =>
      regionOf(a) === regionOf(b) ? ZONE_DELAY_MS : REGION_DELAY_MS,
  });
}

function regionOf(zone: string): string {
  return zone.slice(0, zone.lastIndexOf("-"));
}

function fixedLimiter(fleet: BudgetFleet, node: FleetNode): FixedSplitLimiter {
  const limiter = new FixedSplitLimiter(node.clock);
  limiter.adopt(fleet.document);
  return limiter;
}

function newTally(scenario: string): Tally {
  return {
    scenario,
    requests: 0,
    within: 0,
    refused: 0,
    refused_first_s: 0,
    refused_fixed: 0,
    by_account: {},
    over_rate: 0,
    waited: 0,
    wait_p99_ms: 0,
    wait_max_ms: 0,
  };
}

function percent(part: number, whole: number): number {
  return Math.round(part / Math.max(1, whole) * 100_000) / 1_000;
}
