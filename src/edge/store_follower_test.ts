import test from "ava";
import {
  FollowerFleet,
  type FollowerInstance,
} from "./testing/follower_fleet.ts";

/** An endpoint gets no new requests this long after its entry was removed. */
const DRAIN_MS = 2_000;
const TWO_ZONES = ["a1", "a2"];
const SIX_ZONES = ["a1", "a2", "b1", "b2", "c1", "c2"];
const ENDPOINTS = ["e1", "e2", "e3"];

/** A fleet that has run for some seconds, with three endpoints. */
async function runningFleet(
  zones: readonly string[],
  opts: { readonly perZone: number; readonly seed: number },
): Promise<FollowerFleet> {
  const fleet = new FollowerFleet(zones, opts);
  for (const id of ENDPOINTS) fleet.store.register(id);
  fleet.start();
  await fleet.advance(6_000);
  return fleet;
}

/**
 * How long an endpoint whose entry is removed now is used by some instances, in
 * milliseconds.
 */
async function removalMs(
  fleet: FollowerFleet,
  instances: readonly FollowerInstance[] = fleet.instances,
): Promise<number> {
  fleet.store.remove("e1");
  return await fleet.usedFor("e1", 4_000, instances);
}

for (const perZone of [1, 3]) {
  // Guards against a start that counts as an outage of the store.
  test(`${perZone} a zone: an endpoint that leaves after a start of all gets no requests for longer than allowed`, async (t) => {
    for (let seed = 1; seed <= 4; seed++) {
      for (const afterMs of [300, 1_500, 2_600, 2_800, 3_100, 4_500]) {
        const fleet = await runningFleet(TWO_ZONES, { perZone, seed });
        fleet.restart();
        await fleet.advance(afterMs);
        const usedMs = await removalMs(fleet);
        t.true(usedMs <= DRAIN_MS, `seed ${seed}, ${afterMs}: ${usedMs} ms`);
      }
    }
  });
}

// Guards against a partition of some instances that counts as an outage, at them
// and at those that they tell.
test("an endpoint that leaves after a partition of a zone gets no requests for longer than allowed", async (t) => {
  for (let seed = 1; seed <= 3; seed++) {
    for (const afterMs of [-400, 200, 600, 1_000]) {
      const fleet = await runningFleet(SIX_ZONES, { perZone: 2, seed });
      const cut = fleet.instancesOf("a1");
      for (const instance of cut) instance.setPartitioned(true);
      await fleet.advance(5_000 + Math.min(0, afterMs));
      if (afterMs < 0) fleet.store.remove("e1");
      await fleet.advance(Math.max(0, -afterMs));
      for (const instance of cut) instance.setPartitioned(false);
      await fleet.advance(Math.max(0, afterMs));
      const usedMs = await removalMs(fleet);
      t.true(usedMs <= DRAIN_MS, `seed ${seed}, ${afterMs}: ${usedMs} ms`);
    }
  }
});

// Guards against a change of roles that counts as an outage until the new
// watchers' first call ends.
test("an endpoint that leaves after the watchers lost the store gets no requests for longer than allowed", async (t) => {
  for (let seed = 28; seed <= 39; seed++) {
    for (const afterMs of [6_300, 6_700]) {
      const fleet = await runningFleet(["a1"], { perZone: 5, seed });
      const watchers = fleet.instances.filter((i) => i.isStoreWatcher);
      const others = fleet.instances.filter((i) => !i.isStoreWatcher);
      for (const watcher of watchers) watcher.reachesStore = false;
      await fleet.advance(afterMs);
      const usedMs = await removalMs(fleet, others);
      t.true(usedMs <= DRAIN_MS, `seed ${seed}, ${afterMs}: ${usedMs} ms`);
    }
  }
});

/** An outage of six seconds in which all entries expire. */
async function outage(fleet: FollowerFleet): Promise<void> {
  fleet.store.isUp = false;
  await fleet.advance(6_000);
  for (const id of ENDPOINTS) fleet.store.remove(id);
  fleet.store.isUp = true;
}

// Guards against a fleet that drops live endpoints after an outage of the store.
test("after an outage endpoints are kept until they register again, and no longer", async (t) => {
  for (const perZone of [1, 4]) {
    for (let seed = 1; seed <= 3; seed++) {
      const fleet = await runningFleet(SIX_ZONES, { perZone, seed });
      await outage(fleet);
      for (let passedMs = 0; passedMs < 1_900; passedMs += 100) {
        await fleet.advance(100);
        for (const id of ENDPOINTS) {
          t.true(fleet.instances.every((i) => i.uses(id)), `${passedMs} ms`);
        }
      }
      fleet.store.register("e2");
      fleet.store.register("e3");
      await fleet.advance(3_100);
      t.false(fleet.instances.some((i) => i.uses("e1")));
      t.true(fleet.instances.every((i) => i.uses("e2")));
    }
  }
});

// Guards against a starting instance that drops live endpoints after an outage.
test("an instance that starts during an outage keeps the endpoints of its peers", async (t) => {
  const fleet = await runningFleet(SIX_ZONES, { perZone: 2, seed: 1 });
  fleet.store.isUp = false;
  await fleet.advance(2_000);
  const [restarted] = fleet.instancesOf("b1");
  restarted!.kill();
  fleet.start();
  await outage(fleet);
  await fleet.advance(1_900);
  t.true(restarted!.uses("e1"));
});
