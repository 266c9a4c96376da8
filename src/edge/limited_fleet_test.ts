import test from "ava";
import { LimitedFleet } from "./testing/limited_fleet.ts";

/** Demand for one endpoint, over its limit, and the longest datagram delay. */
const RISES = [
  { times: 5, datagramMs: 1_000, priority: 1 },
  { times: 8, datagramMs: 400, priority: 1 },
  { times: 8, datagramMs: 1_000, priority: 1 },
  { times: 10, datagramMs: 1_000, priority: 0 },
  { times: 10, datagramMs: 1_000, priority: 1 },
];
const SLOW_START = { spreadMs: 8_000, listAfterMs: 3_000 };

for (const perZone of [4, 9]) {
  // Guards against instances that take the few they know of for the whole fleet.
  test(`${3 * perZone} instances that all restart keep within a limit while they do not know each other`, async (t) => {
    const fleet = await LimitedFleet.start({ perZone, ratePerS: 6, seed: 1 });
    fleet.announce();
    fleet.run(5_000, 10);
    await fleet.restart(fleet.members, 10, SLOW_START);
    fleet.run(10_000, 10);
    t.true(fleet.fullest <= 1, `${fleet.fullest}`);
  });
}

// Guards against a limit that each instance spends anew when it is announced again.
test("72 instances keep within a limit that is lifted and announced again", async (t) => {
  const fleet = await LimitedFleet.start({ perZone: 24, ratePerS: 6, seed: 1 });
  for (let i = 0; i < 3; i++) {
    fleet.announce();
    fleet.run(7_000, 5);
    fleet.lift();
    fleet.run(2_500, 5);
  }
  t.true(fleet.fullest <= 1, `${fleet.fullest}`);
});

for (const { times, datagramMs, priority } of RISES) {
  // Guards against admitting a rise by reports that are older than assumed.
  test(`72 instances keep within a limit while demand of priority ${priority} rises to ${times} times it and datagrams take up to ${datagramMs} ms`, async (t) => {
    const fleet = await LimitedFleet.start({
      perZone: 24,
      ratePerS: 6,
      seed: 1,
      priority,
    });
    fleet.delayDatagrams(datagramMs);
    fleet.run(4_000, 0.5);
    fleet.announce();
    fleet.run(25_000, 0.5);
    fleet.run(6_000, times);
    t.true(fleet.fullest <= 1, `${fleet.fullest}`);
  });
}
