import test from "ava";
import type { ServiceId } from "../../core/mod.ts";
import { SharedRetryBudget } from "./mod.ts";
import { RetryFleet, type RetryFleetOptions } from "./testing/retry_fleet.ts";

const SERVICE = "s" as ServiceId;
const FLEET = { instances: 2, isSizeKnown: true };

/** A fleet that has needed no retry for longer than the budget's window. */
function quietFleet(opts: RetryFleetOptions = {}): RetryFleet {
  const fleet = new RetryFleet(opts);
  fleet.runUntil(12_000);
  return fleet;
}

test("a service that fails gets no more retries than the budget", (t) => {
  const fleet = quietFleet();
  fleet.failing = 1;
  fleet.runUntil(40_000);
  t.true(fleet.fullestWindow <= 1, `${fleet.fullestWindow}`);
});

// Guards against processes that spend a budget, are killed and spend another.
test("instances that are all killed while a service fails keep the budget in sum", (t) => {
  const fleet = quietFleet();
  fleet.failing = 1;
  fleet.runUntil(14_200);
  fleet.restart(fleet.all, 800);
  fleet.runUntil(40_000);
  t.true(fleet.fullestWindow <= 1, `${fleet.fullestWindow}`);
});

// Guards against the same, one part of the fleet at a time.
test("instances that are replaced three at a time keep the budget in sum", (t) => {
  const fleet = quietFleet();
  fleet.failing = 1;
  for (const first of [0, 3, 6]) {
    fleet.runUntil(13_000 + first * 500);
    fleet.restart([first, first + 1, first + 2], 800);
  }
  fleet.runUntil(40_000);
  t.true(fleet.fullestWindow <= 1, `${fleet.fullestWindow}`);
});

// Guards against a fixed part of the budget that each new process has in full.
test("instances that are killed every two seconds keep the budget in sum", (t) => {
  const fleet = quietFleet();
  fleet.failing = 1;
  for (let at = 14_000; at < 30_000; at += 2_000) {
    fleet.runUntil(at);
    fleet.restart(fleet.all, 300);
  }
  t.true(fleet.fullestWindow <= 1, `${fleet.fullestWindow}`);
});

// Guards against requests that earn retries here while earlier ones spent theirs.
test("callers that move to other instances leave the budget as it is", (t) => {
  const fleet = quietFleet();
  fleet.moveCallers((i) => i % 2 === 0 ? 1 : 0);
  fleet.runUntil(24_000);
  fleet.failing = 1;
  fleet.runUntil(25_500);
  fleet.moveCallers((i) => i % 2 === 0 ? 0 : 1);
  fleet.runUntil(50_000);
  t.true(fleet.fullestWindow <= 1, `${fleet.fullestWindow}`);
});

// Guards against a fixed part that is divided by the few instances known yet.
test("instances that know two of nine for 3 s after their start keep the budget", (t) => {
  const knownSize = (sinceStartMs: number) => sinceStartMs < 3_000 ? 2 : 9;
  const fleet = new RetryFleet({ knownSize });
  fleet.failing = 1;
  fleet.runUntil(30_000);
  t.true(fleet.fullestWindow <= 1, `${fleet.fullestWindow}`);
});

// Guards against retries that are counted seconds before they arrive together.
test("retries that arrive up to 1.2 s late keep the budget", (t) => {
  const fleet = quietFleet({ delayMs: (random) => random.next() * 1_200 });
  fleet.failing = 1;
  fleet.runUntil(40_000);
  t.true(fleet.fullestWindow <= 1, `${fleet.fullestWindow}`);
});

/** A budget with a request of a caller every 10 ms until a time. */
function budgetAfter(untilMs: number): SharedRetryBudget {
  const allowance = { ratio: 0.2, slack: 20, windowMs: 10_000 };
  const budget = new SharedRetryBudget(allowance, 0);
  for (let at = 0; at < untilMs; at += 10) budget.request(SERVICE, at);
  return budget;
}

test("a process that has just started makes no retry", (t) => {
  t.false(budgetAfter(0).take(SERVICE, FLEET, 0));
});

test("requests earn retries from the start of a process on", (t) => {
  t.true(budgetAfter(100).take(SERVICE, FLEET, 100));
});

// Guards against credit of long ago that is spent together with that of now.
test("credit expires within its window", (t) => {
  const budget = budgetAfter(60_000);
  t.true(budget.available(SERVICE, FLEET, 60_000) <= 63);
  const fixedPart = budget.available(SERVICE, FLEET, 70_000);
  t.true(fixedPart > 0 && fixedPart <= 3);
});

test("a new window begins without credit, like a start", (t) => {
  const budget = budgetAfter(20_000);
  const allowance = { ratio: 0.2, slack: 20, windowMs: 5_000 };
  budget.setAllowance(allowance, 20_000);
  t.is(budget.available(SERVICE, FLEET, 20_000), 0);
});

// Guards against credit of a higher budget that is spent under a lower one.
test("a lower budget begins without credit, a higher one keeps it", (t) => {
  const windowMs = 10_000;
  const available = (ratio: number, slack: number) => {
    const budget = budgetAfter(20_000);
    budget.setAllowance({ ratio, slack, windowMs }, 20_000);
    return budget.available(SERVICE, FLEET, 20_000);
  };
  t.is(available(0.1, 20), 0);
  t.is(available(0.2, 10), 0);
  t.true(available(0.3, 20) > 50);
});

test("the credit that was earned is counted across changes of the budget", (t) => {
  const budget = budgetAfter(20_000);
  budget.setAllowance({ ratio: 0.1, slack: 20, windowMs: 5_000 }, 20_000);
  budget.request(SERVICE, 20_000);
  t.true(budget.earned(SERVICE).byRequests > 200);
});

test("the fixed part is not earned while the size of the fleet is unknown", (t) => {
  const budget = budgetAfter(10);
  const unknown = { instances: 2, isSizeKnown: false };
  t.is(budget.available(SERVICE, unknown, 5_000), 0);
});

// Guards against a fixed part of seconds past that few instances divide now.
test("a fleet that seems to shrink does not raise the fixed part of the time before", (t) => {
  const budget = budgetAfter(0);
  const whole = { instances: 20, isSizeKnown: true };
  t.is(budget.available(SERVICE, whole, 60_000), 0);
  t.is(budget.available(SERVICE, FLEET, 66_000), 0);
  t.true(budget.available(SERVICE, FLEET, 72_000) > 0);
});

test("an idle service has no more than the fixed part of the life of credit", (t) => {
  const fixedPart = budgetAfter(0).available(SERVICE, FLEET, 600_000);
  t.true(fixedPart > 0 && fixedPart <= 3);
});
