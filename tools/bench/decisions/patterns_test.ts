import test from "ava";
import { PATTERNS } from "./patterns.ts";
import type { FleetShape } from "./fleet_shape.ts";
import { type RunReport, simulate } from "./simulation.ts";

const SHAPE: FleetShape = {
  zones: 3,
  instancesPerZone: 2,
  endpoints: 9,
  slots: 4,
  workMs: 60,
  accounts: 8,
};

async function play(name: string) {
  const pattern = PATTERNS.find((p) => p.name === name)!;
  const opts = { seconds: 4, seed: 3 };
  const ours = await simulate(SHAPE, pattern, { ...opts, kind: "fair" });
  const baseline = await simulate(SHAPE, pattern, {
    ...opts,
    kind: "round-robin",
  });
  return { ours, baseline };
}

interface Expectation {
  readonly name: string;
  /** How it comes about and what callers notice. */
  readonly holds: Readonly<
    Record<string, (ours: RunReport, baseline: RunReport) => boolean>
  >;
}

const EXPECTATIONS: readonly Expectation[] = [
  {
    // Callers come all at once for a moment. Those that a short wait would
    // serve are refused without a queue.
    name: "burst",
    holds: {
      "hardly anybody is refused": (o) => o.wrongfulRefusals < 0.01,
      "without a queue many are": (_o, b) => b.wrongfulRefusals > 0.05,
    },
  },
  {
    // Two accounts send as much as all slots serve. The others, who send
    // little, are refused along with them where turns are not shared.
    name: "dominant",
    holds: {
      "nobody gets less than is due": (o) => o.worstAccount > 0.97,
      "without turns somebody does": (_o, b) => b.worstAccount < 0.85,
    },
  },
  {
    // Some endpoints take ten times as long. Callers who meet them wait and
    // then time out, though others are idle.
    name: "slow",
    holds: {
      "the tail is shorter": (o, b) => o.p99Ms < b.p99Ms,
      "fewer are refused": (o, b) => o.wrongfulRefusals < b.wrongfulRefusals,
    },
  },
  {
    // Reports that take most of a second fill the slots among quick reads.
    name: "long",
    holds: {
      "neither kind starves": (o) => o.worstAccount > 0.97,
      "fewer are refused": (o, b) => o.wrongfulRefusals < b.wrongfulRefusals,
    },
  },
  {
    // Half as much again as the slots can serve, for as long as it lasts. Where
    // all wait until their deadline, the slots work for nobody.
    name: "saturation",
    holds: {
      "slots serve as much": (o, b) => o.goodputPerS >= b.goodputPerS,
      "served answers are quick": (o, b) => o.p99Ms <= b.p99Ms,
      "everybody has a share": (o) => o.worstAccount > 0.97,
    },
  },
  {
    // An operator drains an endpoint and waits to stop it.
    name: "drain",
    holds: {
      "no new work goes there": (o) => o.afterDrain === 0,
      "it is over in a request's time": (o) => (o.drainMs ?? Infinity) < 200,
    },
  },
];

for (const { name, holds } of EXPECTATIONS) {
  test(`callers under the pattern: ${name}`, async (t) => {
    const { ours, baseline } = await play(name);
    t.is(ours.overSlots, 0, "slots were passed");
    for (const [what, check] of Object.entries(holds)) {
      const figures = JSON.stringify({ ours, baseline });
      t.true(check(ours, baseline), `${what}: ${figures}`);
    }
  });
}
