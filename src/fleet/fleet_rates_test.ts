import test from "ava";
import * as fc from "fast-check";
import { maxPerWindow } from "../decisions/quotas/testing/quota_fleet.ts";
import { RatedFleet } from "./testing/rated_fleet.ts";

const ZONES = ["a1", "b1", "c1"];
/** Large enough for the fleet to gossip through relays. */
const PER_ZONE = 9;
const RUNS = 12;

// Guards against rejecting requests of an account that is within its rate.
test("with relays, requests of an account within its rate are admitted", async (t) => {
  const fleet = await RatedFleet.start(ZONES, PER_ZONE, { ratePerS: 388 });
  fleet.run(6_000, 0.6);
  const before = fleet.requested;
  const passed = fleet.run(6_000, 0.6);
  t.true(passed >= (fleet.requested - before) * 0.97, `${passed}`);
});

// Guards against admitting the same rate at several instances.
test("with relays, an account beyond its rate gets its rate and little more", async (t) => {
  const fleet = await RatedFleet.start(ZONES, PER_ZONE, { ratePerS: 388 });
  fleet.run(6_000, 0.6);
  const passed = fleet.run(8_000, 4.7);
  t.true(fleet.mostWithin(5_000) <= maxPerWindow(fleet.account));
  t.true(passed >= 8 * 388 * 0.9, `${passed} of ${8 * 388}`);
});

// Guards against losing admission counts when relays are replaced.
test("an account keeps within its rate while relays are partitioned and reconnect", async (t) => {
  const fleet = await RatedFleet.start(ZONES, PER_ZONE, { ratePerS: 388 });
  fleet.run(6_000, 4);
  for (const relay of fleet.relays()) fleet.cut([relay]);
  fleet.run(6_000, 4);
  fleet.heal();
  fleet.run(6_000, 4);
  const most = fleet.mostWithin(5_000);
  t.true(
    most <= maxPerWindow(fleet.account),
    `${most} of ${maxPerWindow(fleet.account)}`,
  );
});

// Guards against admitting the shares of partitioned instances twice.
test("shares of instances partitioned from their relay stay reserved", async (t) => {
  const fleet = await RatedFleet.start(ZONES, PER_ZONE, { ratePerS: 388 });
  fleet.run(6_000, 2);
  // The busiest instance, with a third of the demand, is not a relay.
  fleet.cut(fleet.consecutiveMembers(3, 1));
  for (let i = 0; i < 8; i++) {
    fleet.run(500, 2);
    t.true(fleet.totalShare() <= 1.1, `${fleet.totalShare()}`);
  }
});

// Guards against instances that spend a rate by reports of a part of the fleet.
test("72 instances that all restart keep an account within its rate while reports are missing", async (t) => {
  const fleet = await RatedFleet.start(ZONES, 24, { ratePerS: 40 });
  fleet.run(4_000, 3);
  await fleet.restartAll(3, { spreadMs: 1_000, listAfterMs: 3_000 });
  fleet.run(6_000, 3);
  const most = fleet.mostWithin(5_000);
  t.true(
    most <= maxPerWindow(fleet.account),
    `${most} of ${maxPerWindow(fleet.account)}`,
  );
});

// Guards against taking the counters of a new relay for new admissions.
test("an account within its rate is still admitted after relays are killed", async (t) => {
  const fleet = await RatedFleet.start(ZONES, PER_ZONE, { ratePerS: 388 });
  fleet.run(6_000, 0.6);
  fleet.kill(fleet.relays());
  fleet.run(2_000, 0.6);
  const before = fleet.requested;
  const passed = fleet.run(4_000, 0.6);
  const asked = fleet.requested - before;
  t.true(passed >= asked * 0.95, `${passed} of ${asked}`);
});

const FLEET_EVENTS = fc.oneof(
  fc.record({
    kind: fc.constant("demand" as const),
    times: fc.double({ min: 0, max: 6, noNaN: true }),
  }),
  fc.record({
    kind: fc.constant("cut" as const),
    first: fc.integer({ min: 0, max: 26 }),
    count: fc.integer({ min: 1, max: PER_ZONE }),
  }),
  fc.constant({ kind: "heal" as const }),
  fc.record({
    kind: fc.constant("restart" as const),
    first: fc.integer({ min: 0, max: 26 }),
    count: fc.integer({ min: 1, max: PER_ZONE }),
  }),
);

// Guards against exceeding an account's rate during partitions and restarts.
test("no window exceeds the limit while up to a third of the instances at a time, relays included, is partitioned, reconnected or restarted", async (t) => {
  for (const ratePerS of [388, 60]) {
    await fc.assert(
      fc.asyncProperty(
        fc.array(FLEET_EVENTS, { minLength: 1, maxLength: 5 }),
        async (events) => {
          const fleet = await RatedFleet.start(ZONES, PER_ZONE, { ratePerS });
          let times = 0.6;
          fleet.run(6_000, times);
          for (const event of events) {
            if (event.kind === "demand") times = event.times;
            if (event.kind === "heal") fleet.heal();
            if (event.kind === "cut") {
              fleet.cut(fleet.consecutiveMembers(event.first, event.count));
            }
            if (event.kind === "restart") {
              await fleet.restart(
                fleet.consecutiveMembers(event.first, event.count),
              );
            }
            fleet.run(1_500, times);
          }
          return fleet.mostWithin(5_000) <= maxPerWindow(fleet.account);
        },
      ),
      { numRuns: RUNS, seed: 11 },
    );
  }
  t.pass();
});
