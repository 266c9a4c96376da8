import test from "ava";
import fc from "fast-check";
import {
  type InstanceId,
  type RegionId,
  SeededRandom,
  type ServiceId,
  type ZoneId,
} from "../../core/mod.ts";
import { parseDocument } from "../../document/mod.ts";
import { CapacityGrants } from "./capacity_grants.ts";
import { LinkBudgets } from "./link_budgets.ts";
import { RemoteCapacityTable, staleFactor } from "./remote_capacity_table.ts";

const SERVICE = "s" as ServiceId;

function requester(i: number) {
  return { instance: `i${i}` as InstanceId, service: SERVICE };
}

const SHARES = [
  { name: "one requester", wants: [10], capacity: 6, granted: [6] },
  {
    name: "two that fail over at the same time",
    wants: [9, 9],
    capacity: 6,
    granted: [3, 3],
  },
  {
    name: "a small and a large one",
    wants: [1, 9],
    capacity: 6,
    granted: [1, 5],
  },
  {
    name: "more requesters than capacity",
    wants: [5, 5, 5],
    capacity: 2,
    granted: [1, 1, 0],
  },
  { name: "no capacity", wants: [5], capacity: 0, granted: [0] },
] as const;

for (const { name, wants, capacity, granted } of SHARES) {
  test(`capacity is divided over its requesters: ${name}`, (t) => {
    const grants = new CapacityGrants();
    wants.forEach((wanted, i) => grants.request(requester(i), wanted, 0));
    t.deepEqual(wants.map((_w, i) => grants.grant(requester(i), capacity, 0)), [
      ...granted,
    ]);
  });
}

test("the sum of unexpired grants never exceeds the capacity", (t) => {
  // Requesters start, go silent and return. If the grant of a silent requester
  // were given to another at once, both would use it and overload the region.
  const step = fc.record({
    index: fc.nat(3),
    wanted: fc.nat(9),
    elapsedMs: fc.nat(2_000),
  });
  const property = fc.property(
    fc.array(step, { maxLength: 40 }),
    fc.integer({ min: 0, max: 12 }),
    (steps, capacity) => {
      const grants = new CapacityGrants();
      let now = 0;
      for (const { index, wanted, elapsedMs } of steps) {
        now += elapsedMs;
        grants.request(requester(index), wanted, now);
        grants.grant(requester(index), capacity, now);
        grants.tick(now);
        const sum = [0, 1, 2, 3]
          .reduce((n, i) => n + grants.granted(requester(i), now), 0);
        if (sum > capacity) return false;
      }
      return true;
    },
  );
  fc.assert(property, { seed: 11, numRuns: 500 });
  t.pass();
});

function setupTable(granted: number) {
  const table = new RemoteCapacityTable();
  const peer = {
    instance: "i1" as InstanceId,
    zone: "z2" as ZoneId,
    region: "r2" as RegionId,
    peerUrl: "http://127.0.0.1:1",
  };
  table.update(SERVICE, peer, { granted, now: 0 });
  const random = new SeededRandom(3);
  const choose = (now: number) =>
    table.choose(
      { service: SERVICE, exclude: undefined, now, accept: () => true },
      random,
    );
  return { table, peer, choose };
}

test("use of a cold zone ramps up to the full grant over three seconds", (t) => {
  const { table, peer, choose } = setupTable(20);
  const running = [];
  for (let remote = choose(0); remote; remote = choose(0)) {
    table.take(SERVICE, remote, 0);
    running.push(remote);
  }
  t.is(running.length, 10);
  for (let now = 500; now <= 3_000; now += 500) {
    table.update(SERVICE, peer, { granted: 20, now });
    const remote = running[0]!;
    table.release(remote, "fine", now);
    table.take(SERVICE, remote, now);
  }
  t.is(table.allowed(SERVICE, running[0]!, 3_000), 20);
});

test("a grant that is no longer renewed decays but not to zero", (t) => {
  // The other region still serves but its messages are lost. Using the full
  // grant could overload it unnoticed; using none would refuse requests that it
  // could serve.
  const { table, choose } = setupTable(8);
  const remote = choose(0)!;
  t.is(staleFactor(500), 1);
  t.is(staleFactor(4_000), 0.5);
  t.is(table.allowed(SERVICE, remote, 3_600_000), 1);
});

test("an instance that refused a request is full until its next grant", (t) => {
  const { table, peer, choose } = setupTable(8);
  const remote = choose(0)!;
  table.take(SERVICE, remote, 0);
  table.release(remote, "full", 0);
  t.is(choose(0), undefined);
  table.update(SERVICE, peer, { granted: 8, now: 100 });
  t.truthy(choose(100));
});

function links(parts: readonly number[]) {
  const document = parseDocument({
    regions: {
      regions: { r1: { zones: { z1: {} } }, r2: { zones: { z2: {} } } },
      links: [{ from: "r1", to: "r2", cap_mbit_per_s: 80 }],
    },
  })._unsafeUnwrap();
  return parts.map((part) => {
    const budgets = new LinkBudgets({
      region: "r1" as RegionId,
      part: () => part,
    });
    budgets.adopt(document, 0);
    return budgets;
  });
}

test("all instances of a region together stay under the link's cap", (t) => {
  // A region fails over and every instance sends as fast as it can. As they do
  // not coordinate, each one's share alone must keep the sum under the cap.
  const senders = links([0.5, 0.25, 0.25]);
  let sent = 0;
  for (let now = 0; now < 10_000; now++) {
    for (const budgets of senders) {
      while (budgets.spend("r2" as RegionId, 10_000, now) === 0) sent += 10_000;
    }
  }
  const cap = 80 * 125_000 * 10;
  t.true(sent < cap, `${sent} of ${cap} bytes`);
  t.true(sent > 0.8 * cap, `${sent} of ${cap} bytes`);
});

test("an instance without a seat sends nothing over a link", (t) => {
  const [budgets] = links([0]);
  t.false(budgets!.canSend("r2" as RegionId, 1_000));
  t.true(budgets!.spend("r2" as RegionId, 1, 1_000) > 0);
});
