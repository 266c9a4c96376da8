import test from "ava";
import fc from "fast-check";
import type { ServiceId } from "../../core/mod.ts";
import { type RetryAllowance, SharedRetryBudget } from "./mod.ts";
import { ALLOWANCE, RetryFleet } from "./testing/retry_fleet.ts";

const SERVICE = "s" as ServiceId;
const BURST_MS = 5_000;
/** Size of the search for the fullest window. */
const CLIMBS = 16;
const CLIMB_STEPS = 150;

/**
 * Two bursts of demand: one ends as the service begins to fail, the other one
 * begins a pause later. Returns the fullest window.
 */
function playBursts(
  fleet: RetryFleet,
  opts: { factor: number; pauseMs: number; restartsBetween?: boolean },
): number {
  const calmPerS = fleet.perS;
  const wait = (ms: number) => fleet.runUntil(fleet.now + ms);
  wait(20_000);
  fleet.perS = calmPerS * opts.factor;
  wait(BURST_MS - 100);
  fleet.failing = 1;
  wait(100);
  fleet.perS = calmPerS;
  wait(opts.pauseMs - 700);
  if (opts.restartsBetween) fleet.restart(fleet.all, 0);
  wait(700);
  fleet.perS = calmPerS * opts.factor;
  wait(BURST_MS);
  fleet.perS = calmPerS;
  wait(15_000);
  return fleet.fullestWindow;
}

// Guards against requests of two windows that earn, while one window grants.
test("two bursts of demand keep the budget", (t) => {
  for (const factor of [1, 2, 3, 5, 10]) {
    for (const pauseMs of [4_000, 5_000, 6_000]) {
      const fullest = playBursts(new RetryFleet(), { factor, pauseMs });
      t.true(fullest <= 1, `${factor} times, ${pauseMs} ms: ${fullest}`);
    }
  }
});

// Guards against the same where no process has seen both bursts.
test("two bursts with a restart of all between them keep the budget", (t) => {
  for (const [size, perS] of [[9, 92], [9, 400], [72, 400]] as const) {
    const fullest = playBursts(new RetryFleet({ size, perS }), {
      factor: 5,
      pauseMs: 5_000,
      restartsBetween: true,
    });
    t.true(fullest <= 1, `${size} instances, ${perS} a second: ${fullest}`);
  }
});

// Guards against parts of a retry that are kept for minutes and spent at once.
test("credit for less than a retry expires, too", (t) => {
  const fleet = { instances: 300, isSizeKnown: true };
  const budgets = Array.from(
    { length: fleet.instances },
    () => new SharedRetryBudget(ALLOWANCE, 0),
  );
  let taken = 0;
  for (const at of [1_000, 60_000, 120_000, 180_000]) {
    for (const budget of budgets) {
      budget.request(SERVICE, at);
      budget.request(SERVICE, at);
      if (budget.take(SERVICE, fleet, at)) taken++;
    }
    const requests = 2 * fleet.instances;
    const allowed = requests * ALLOWANCE.ratio + ALLOWANCE.slack;
    t.true(taken <= allowed, `${taken} of ${allowed} at ${at} ms`);
    taken = 0;
  }
});

type Event = "none" | "restart all" | "restart half" | "move callers";

interface Phase {
  readonly durationMs: number;
  readonly perS: number;
  readonly failing: number;
  readonly event: Event;
}

interface Play {
  readonly size: number;
  readonly allowance: RetryAllowance;
  /** Maximum time from the decision on a retry to its arrival. */
  readonly delayMs: number;
  readonly seed: number;
  readonly phases: readonly Phase[];
}

const phase: fc.Arbitrary<Phase> = fc.record({
  durationMs: fc.integer({ min: 100, max: 5_500 }),
  perS: fc.constantFrom(0, 20, 90, 400),
  failing: fc.constantFrom(0, 0.3, 1, 1),
  event: fc.constantFrom<Event[]>(
    "none",
    "none",
    "restart all",
    "restart half",
    "move callers",
  ),
});

const play: fc.Arbitrary<Play> = fc.record({
  size: fc.constantFrom(1, 3, 9, 72),
  allowance: fc.record({
    ratio: fc.constantFrom(0.1, 0.2, 0.5),
    slack: fc.constantFrom(0, 20, 58, 200),
    windowMs: fc.constant(10_000),
  }),
  delayMs: fc.constantFrom(0, 500, 1_500),
  seed: fc.integer({ min: 1, max: 1_000 }),
  phases: fc.array(phase, { minLength: 4, maxLength: 8 }),
});

function fullestWindowOf({ phases, delayMs, ...opts }: Play): number {
  const fleet = new RetryFleet({
    ...opts,
    delayMs: (random) => random.next() * delayMs,
  });
  const half = (i: number) => i % 2 === 0;
  for (const { durationMs, perS, failing, event } of phases) {
    Object.assign(fleet, { perS, failing });
    if (event === "restart all") fleet.restart(fleet.all, 300);
    if (event === "restart half") fleet.restart(fleet.all.filter(half), 300);
    if (event === "move callers") fleet.swapCallers();
    fleet.runUntil(fleet.now + durationMs);
  }
  return fleet.fullestWindow;
}

/** A play like another one, but for one part of one phase. */
const change = fc.record({
  index: fc.nat(),
  part: fc.constantFrom<(keyof Phase)[]>(
    "durationMs",
    "perS",
    "failing",
    "event",
  ),
  from: phase,
});

/** Climbs from a play to fuller windows, one change of a phase at a time. */
function climbFrom(start: Play, seed: number): { fullest: number; at: Play } {
  let at = start;
  let fullest = fullestWindowOf(at);
  for (
    const { index, part, from } of fc.sample(change, {
      seed,
      numRuns: CLIMB_STEPS,
    })
  ) {
    const i = index % at.phases.length;
    const changed = { ...at.phases[i]!, [part]: from[part] };
    const candidate = { ...at, phases: at.phases.with(i, changed) };
    const fullness = fullestWindowOf(candidate);
    if (fullness >= fullest) [fullest, at] = [fullness, candidate];
  }
  return { fullest, at };
}

// Guards against demand, failures and restarts that no test above plays.
test("no sequence of demand, failures and restarts exceeds the budget", (t) => {
  const starts = fc.sample(play, { seed: 64, numRuns: CLIMBS });
  for (const [seed, start] of starts.entries()) {
    const { fullest, at } = climbFrom(start, seed);
    t.true(fullest <= 1, `${fullest}: ${JSON.stringify(at)}`);
  }
});
