import test from "ava";
import * as fc from "fast-check";
import { bound } from "../decisions/quotas/testing/quota_fleet.ts";
import { RatedFleet } from "./testing/rated_fleet.ts";

const ZONES = ["a1", "b1", "c1"];
/** Enough in all to be summed by relays. */
const PER_ZONE = 9;
const RUNS = 12;

// Guards against refusing an account that is within its rate.
test("told by relays, an account within its rate passes", async (t) => {
  const fleet = await RatedFleet.start(ZONES, PER_ZONE, { ratePerS: 388 });
  fleet.run(6_000, 0.6);
  const before = fleet.asked;
  const passed = fleet.run(6_000, 0.6);
  t.true(passed >= (fleet.asked - before) * 0.97, `${passed}`);
});

// Guards against admitting the same rate at several instances.
test("told by relays, an account beyond its rate gets its rate and little more", async (t) => {
  const fleet = await RatedFleet.start(ZONES, PER_ZONE, { ratePerS: 388 });
  fleet.run(6_000, 0.6);
  const passed = fleet.run(8_000, 4.7);
  t.true(fleet.mostWithin(5_000) <= bound(fleet.account));
  t.true(passed >= 8 * 388 * 0.9, `${passed} of ${8 * 388}`);
});

// Guards against relays that lose count of requests when they are replaced.
test("an account keeps to its rate when relays die", async (t) => {
  const fleet = await RatedFleet.start(ZONES, PER_ZONE, { ratePerS: 388 });
  fleet.run(6_000, 4);
  for (const relay of fleet.relays()) fleet.cut([relay]);
  fleet.run(6_000, 4);
  fleet.heal();
  fleet.run(6_000, 4);
  const most = fleet.mostWithin(5_000);
  t.true(most <= bound(fleet.account), `${most} of ${bound(fleet.account)}`);
});

// Guards against a second spending of what cut off instances hold.
test("shares of instances that a relay does not hear are set aside by its zone", async (t) => {
  const fleet = await RatedFleet.start(ZONES, PER_ZONE, { ratePerS: 388 });
  fleet.run(6_000, 2);
  // The busiest instance, with a third of the demand, is no relay.
  fleet.cut(fleet.some(3, 1));
  for (let i = 0; i < 8; i++) {
    fleet.run(500, 2);
    t.true(fleet.shares() <= 1.1, `${fleet.shares()}`);
  }
});

// Guards against counts of a new relay that look like requests admitted.
test("an account within its rate is served on when relays die", async (t) => {
  const fleet = await RatedFleet.start(ZONES, PER_ZONE, { ratePerS: 388 });
  fleet.run(6_000, 0.6);
  fleet.kill(fleet.relays());
  fleet.run(2_000, 0.6);
  const before = fleet.asked;
  const passed = fleet.run(4_000, 0.6);
  const asked = fleet.asked - before;
  t.true(passed >= asked * 0.95, `${passed} of ${asked}`);
});

const HAPPENINGS = fc.oneof(
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

// Guards against passing an account's limit whatever happens to the fleet.
test("a third cut off, back or new, and relays among them: no window passes the limit", async (t) => {
  for (const ratePerS of [388, 60]) {
    await fc.assert(
      fc.asyncProperty(
        fc.array(HAPPENINGS, { minLength: 1, maxLength: 5 }),
        async (happenings) => {
          const fleet = await RatedFleet.start(ZONES, PER_ZONE, { ratePerS });
          let times = 0.6;
          fleet.run(6_000, times);
          for (const happening of happenings) {
            if (happening.kind === "demand") times = happening.times;
            if (happening.kind === "heal") fleet.heal();
            if (happening.kind === "cut") {
              fleet.cut(fleet.some(happening.first, happening.count));
            }
            if (happening.kind === "restart") {
              await fleet.restart(fleet.some(happening.first, happening.count));
            }
            fleet.run(1_500, times);
          }
          return fleet.mostWithin(5_000) <= bound(fleet.account);
        },
      ),
      { numRuns: RUNS, seed: 11 },
    );
  }
  t.pass();
});
