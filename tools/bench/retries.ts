/**
 * `npm run bench -- retries`: what the retry budget of a fleet allows under
 * failures, restarts and callers that move, and what a decision costs.
 *
 * @module
 */
import { performance } from "node:perf_hooks";
import type { ServiceId } from "../../src/core/mod.ts";
import { SharedRetryBudget } from "../../src/decisions/retries/mod.ts";
import {
  ALLOWANCE,
  REQUESTS_PER_S,
  RetryFleet,
} from "../../src/decisions/retries/testing/retry_fleet.ts";
import { memoryInUse, roundTo } from "./figures.ts";

/** When attempts begin to fail, and for how long, in milliseconds. */
const QUIET_MS = 12_000;
const FAILING_MS = 14_000;
const MS_PER_S = 1_000;
const US_PER_MS = 1_000;
const ROUNDS = 1_000_000;
const SERVICES = 1_000;

/** What happens to the instances while attempts fail. */
const EVENTS: Readonly<Record<string, (fleet: RetryFleet) => void>> = {
  "none": () => {},
  "all killed after 2.2 s": (fleet) => {
    fleet.runUntil(QUIET_MS + 2_200);
    fleet.restart(fleet.all, 800);
  },
  "half killed every 1.5 s": (fleet) => {
    for (let i = 1; i * 1_500 < FAILING_MS; i++) {
      fleet.runUntil(QUIET_MS + i * 1_500);
      fleet.restart(fleet.all.filter((n) => n % 2 === i % 2), 300);
    }
  },
  "callers move to half of them after 1.5 s": (fleet) => {
    fleet.runUntil(QUIET_MS + 1_500);
    fleet.moveCallers((i) => i % 2);
  },
};
const FAILING_FRACTIONS = [0.02, 0.3, 1];

/** Runs the benchmark and prints tables and a line of JSON. */
export function benchRetries(): void {
  const loads = Object.entries(EVENTS).flatMap(([event, run]) =>
    FAILING_FRACTIONS.map((failing) => measureLoad(event, failing, run))
  );
  const cost = measureCost();
  console.table(loads);
  console.table([cost]);
  console.log(JSON.stringify({ bench: "retries", loads, cost }));
}

function measureLoad(
  event: string,
  failing: number,
  run: (fleet: RetryFleet) => void,
) {
  const fleet = new RetryFleet();
  fleet.runUntil(QUIET_MS);
  const servedBefore = fleet.served;
  fleet.failing = failing;
  run(fleet);
  fleet.runUntil(QUIET_MS + FAILING_MS);
  const requests = REQUESTS_PER_S * FAILING_MS / MS_PER_S;
  return {
    event,
    failing,
    served: roundTo((fleet.served - servedBefore) / requests, 3),
    fullestWindow: roundTo(fleet.fullestWindow, 3),
  };
}

/** Time of a decision in microseconds, and memory by service in bytes. */
function measureCost() {
  const fleet = { instances: 12, isSizeKnown: true };
  const budget = new SharedRetryBudget(ALLOWANCE, 0);
  const service = "s" as ServiceId;
  const requestUs = timeOf((i) => budget.request(service, i));
  const takeUs = timeOf((i) => void budget.take(service, fleet, ROUNDS + i));
  const before = memoryInUse();
  const many = new SharedRetryBudget(ALLOWANCE, 0);
  for (let i = 0; i < SERVICES; i++) {
    for (let at = 0; at < MS_PER_S; at += 10) {
      many.request(`s${i}` as ServiceId, at);
    }
  }
  const bytes = Math.round((memoryInUse() - before) / SERVICES);
  // Keeps the budgets alive until they are measured.
  many.available(service, fleet, MS_PER_S);
  return { requestUs, takeUs, bytesByService: bytes };
}

function timeOf(once: (i: number) => void): number {
  const from = performance.now();
  for (let i = 0; i < ROUNDS; i++) once(i);
  return roundTo((performance.now() - from) / ROUNDS * US_PER_MS, 3);
}
