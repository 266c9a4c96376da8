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

async function simulateBoth(name: string) {
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
  /** Conditions on the reports, by description. */
  readonly holds: Readonly<
    Record<string, (ours: RunReport, baseline: RunReport) => boolean>
  >;
}

const EXPECTATIONS: readonly Expectation[] = [
  {
    // Guards against refusing requests during a short burst that a short time in
    // the queue would have served.
    name: "burst",
    holds: {
      "less than 1% are wrongfully refused": (o) => o.wrongfulRefusals < 0.01,
      "without a queue more than 5% are": (_o, b) => b.wrongfulRefusals > 0.05,
    },
  },
  {
    // Two accounts send as much as all slots serve. Guards against refusing the
    // small accounts as well, which happens without fair queueing.
    name: "dominant",
    holds: {
      "every account gets its fair share": (o) => o.worstAccount > 0.97,
      "without fair queueing some account does not": (_o, b) =>
        b.worstAccount < 0.85,
    },
  },
  {
    // Some endpoints take ten times as long. Guards against requests that wait
    // for them and time out while other endpoints are idle.
    name: "slow",
    holds: {
      "p99 latency is lower": (o, b) => o.p99Ms < b.p99Ms,
      "fewer are refused": (o, b) => o.wrongfulRefusals < b.wrongfulRefusals,
    },
  },
  {
    // Guards against long requests (most of a second) starving short ones.
    name: "long",
    holds: {
      "neither kind starves": (o) => o.worstAccount > 0.97,
      "fewer are refused": (o, b) => o.wrongfulRefusals < b.wrongfulRefusals,
    },
  },
  {
    // A constant 1.5 times what the slots can serve. Guards against queueing all
    // requests until their deadlines, so that slots serve requests that time out.
    name: "saturation",
    holds: {
      "goodput is at least as high": (o, b) => o.goodputPerS >= b.goodputPerS,
      "p99 latency is not higher": (o, b) => o.p99Ms <= b.p99Ms,
      "every account gets its fair share": (o) => o.worstAccount > 0.97,
    },
  },
  {
    // Guards against new work on a drained endpoint and against a slow drain.
    name: "drain",
    holds: {
      "the drained endpoint gets no new requests": (o) => o.afterDrain === 0,
      "the drain completes within 200 ms": (o) => (o.drainMs ?? Infinity) < 200,
    },
  },
];

for (const { name, holds } of EXPECTATIONS) {
  test(`dispatchers under the load pattern: ${name}`, async (t) => {
    const { ours, baseline } = await simulateBoth(name);
    t.is(ours.overSlots, 0, "endpoint slots exceeded");
    for (const [description, check] of Object.entries(holds)) {
      const figures = JSON.stringify({ ours, baseline });
      t.true(check(ours, baseline), `${description}: ${figures}`);
    }
  });
}
