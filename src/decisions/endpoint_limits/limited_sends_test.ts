import test from "ava";
import * as fc from "fast-check";
import {
  type EndpointId,
  type InstanceId,
  SeededRandom,
} from "../../core/mod.ts";
import { DIRECT_GOSSIP_DELAY_MS, FleetDemand } from "../quotas/mod.ts";
import { LimitedSends } from "./mod.ts";
import {
  allowed,
  LimitFleet,
  type LimitMember,
} from "./testing/limit_fleet.ts";

/** Time in which all instances learn of a limit, in milliseconds. */
const LEARN_MS = 3_000;
const DIRECT_MS = 20;
const BY_RELAY_MS = 650;

/** Four fifths of the demand at a third of the instances, as in one region. */
function regional(size: number, perS: number): (m: LimitMember) => number {
  const near = Math.ceil(size / 3);
  return ({ index }) =>
    index % 3 === 0 ? 0.8 * perS / near : 0.2 * perS / (size - near);
}

const FLEETS = [
  { size: 12, gossipDelayMs: DIRECT_MS, rates: [0.8, 5.2, 20] },
  { size: 24, gossipDelayMs: 70, rates: [0.8, 5.2, 20] },
  { size: 60, gossipDelayMs: BY_RELAY_MS, rates: [2, 5.2] },
] as const;

for (const { size, gossipDelayMs, rates } of FLEETS) {
  // Guards against instances that keep a limit alone and pass it together.
  test(`${size} instances keep to a limit at three times the demand, and use it`, (t) => {
    for (const ratePerS of rates) {
      const fleet = new LimitFleet({ size, gossipDelayMs, ratePerS, seed: 1 });
      fleet.run(LEARN_MS, regional(size, 3 * ratePerS));
      fleet.countAnew();
      fleet.run(12_000, regional(size, 3 * ratePerS));
      t.true(fleet.worst <= allowed(ratePerS), `${fleet.worst}`);
      t.true(fleet.sent >= ratePerS * 12 * 0.6, `${fleet.sent}`);
    }
  });
}

// Guards against a rise of the demand that goes out before peers report it.
test("a limit holds while the demand rises to many times what it was", (t) => {
  for (const size of [12, 24]) {
    for (const ratePerS of [0.8, 5.2, 20]) {
      const fleet = new LimitFleet({
        size,
        gossipDelayMs: 70,
        ratePerS,
        seed: 2,
      });
      fleet.run(LEARN_MS, regional(size, 0.3 * ratePerS));
      for (const times of [8, 0.3, 8, 0, 4]) {
        fleet.run(4_000, regional(size, times * ratePerS));
      }
      t.true(fleet.worst <= allowed(ratePerS), `${size}: ${fleet.worst}`);
    }
  }
});

// Guards against a burst that goes out before relays have reported it.
test("by relays a limit holds while all demand rises to six times", (t) => {
  const size = 80;
  const ratePerS = 5.2;
  for (const seed of [1, 4]) {
    const fleet = new LimitFleet({
      size,
      gossipDelayMs: BY_RELAY_MS,
      ratePerS,
      seed,
    });
    fleet.run(6_000, regional(size, ratePerS), 9);
    fleet.countAnew();
    for (let burst = 0; burst < 2; burst++) {
      fleet.run(5_000, regional(size, 6 * ratePerS), 54);
      fleet.run(5_000, regional(size, ratePerS), 9);
    }
    t.true(fleet.worst <= allowed(ratePerS), `${seed}: ${fleet.worst}`);
  }
});

// Guards against shares of instances that are cut off being spent twice.
test("both sides of a cut keep to the limit together", (t) => {
  const ratePerS = 5.2;
  const demand = regional(12, 3 * ratePerS);
  const fleet = new LimitFleet({
    size: 12,
    gossipDelayMs: DIRECT_MS,
    ratePerS,
    seed: 3,
  });
  fleet.run(6_000, demand);
  fleet.cut(fleet.members.slice(0, 4));
  fleet.run(8_000, demand);
  fleet.heal();
  fleet.run(8_000, demand);
  t.true(fleet.worst <= allowed(ratePerS), `${fleet.worst}`);
});

const HAPPENINGS = fc.oneof(
  fc.record({
    kind: fc.constant("demand" as const),
    times: fc.double({ min: 0, max: 6, noNaN: true }),
  }),
  fc.record({
    kind: fc.constant("cut" as const),
    count: fc.integer({ min: 1, max: 4 }),
  }),
  fc.constant({ kind: "heal" as const }),
  fc.record({
    kind: fc.constant("restart" as const),
    count: fc.integer({ min: 1, max: 4 }),
  }),
);

// Guards against passing an endpoint's limit whatever happens to the fleet.
test("whatever is cut off, restarted or asked for, no window passes the limit", (t) => {
  fc.assert(
    fc.property(
      fc.array(HAPPENINGS, { minLength: 1, maxLength: 5 }),
      fc.constantFrom(0.8, 5.2, 20),
      (happenings, ratePerS) => {
        const fleet = new LimitFleet({
          size: 12,
          gossipDelayMs: DIRECT_MS,
          ratePerS,
          seed: 4,
        });
        let times = 2;
        fleet.run(LEARN_MS, regional(12, times * ratePerS));
        for (const happening of happenings) {
          if (happening.kind === "demand") times = happening.times;
          if (happening.kind === "heal") fleet.heal();
          if (happening.kind === "cut") {
            fleet.cut(fleet.members.slice(0, happening.count));
          }
          if (happening.kind === "restart") {
            for (const m of fleet.members.slice(-happening.count)) {
              fleet.restart(m);
            }
          }
          fleet.run(2_000, regional(12, times * ratePerS));
        }
        return fleet.worst <= allowed(ratePerS);
      },
    ),
    { numRuns: 40, seed: 30 },
  );
  t.pass();
});

/** One instance alone. */
function alone(): { demand: FleetDemand; sends: LimitedSends } {
  const own = "i1" as InstanceId;
  const demand = new FleetDemand(own, () => 1);
  return {
    demand,
    sends: new LimitedSends(own, {
      demand,
      gossipDelayMs: () => DIRECT_GOSSIP_DELAY_MS,
    }),
  };
}

// Guards against an endpoint that no instance asks again once it names zero.
test("an endpoint that takes nothing is asked now and then", (t) => {
  const { demand, sends } = alone();
  let sent = 0;
  for (let now = 0; now < 40_000; now += 100) {
    if (now % 250 < 100) demand.tick(now);
    const req = { ratePerS: 0, rank: 1 };
    if (sends.take("e1" as EndpointId, req, now)) sent++;
  }
  t.true(sent >= 4 && sent <= 14, `${sent}`);
});

// Guards against less urgent requests that use up a limit before urgent ones.
test("within a limit the most urgent requests are sent first", (t) => {
  const { demand, sends } = alone();
  const random = new SeededRandom(5);
  const sent = [0, 0];
  const asked = [0, 0];
  for (let now = 0; now < 60_000; now += 50) {
    if (now % 250 === 0) demand.tick(now);
    const rank = random.below(2);
    asked[rank]!++;
    const req = { ratePerS: 5, rank };
    if (sends.take("e1" as EndpointId, req, now)) sent[rank]!++;
  }
  t.true(sent[0]! / asked[0]! > 2 * sent[1]! / asked[1]!, `${sent}`);
});
