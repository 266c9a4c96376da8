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
import { HeadroomGrants } from "./headroom_grants.ts";
import { LinkBudgets } from "./link_budgets.ts";
import { aged, RemoteRooms } from "./remote_rooms.ts";

const SERVICE = "s" as ServiceId;

function asker(i: number) {
  return { instance: `i${i}` as InstanceId, service: SERVICE };
}

const SHARES = [
  { name: "one asker", wants: [10], room: 6, granted: [6] },
  {
    name: "two that fail over at once",
    wants: [9, 9],
    room: 6,
    granted: [3, 3],
  },
  { name: "a small and a large one", wants: [1, 9], room: 6, granted: [1, 5] },
  {
    name: "more askers than room",
    wants: [5, 5, 5],
    room: 2,
    granted: [1, 1, 0],
  },
  { name: "no room", wants: [5], room: 0, granted: [0] },
] as const;

for (const { name, wants, room, granted } of SHARES) {
  test(`room is divided over its askers: ${name}`, (t) => {
    const grants = new HeadroomGrants();
    wants.forEach((wanted, i) => grants.ask(asker(i), wanted, 0));
    t.deepEqual(wants.map((_w, i) => grants.grant(asker(i), room, 0)), [
      ...granted,
    ]);
  });
}

test("grants that may still be acted on never pass the room of their time", (t) => {
  // Askers come, go silent and come back while the room changes. If a grant
  // whose asker fell silent were handed to another at once, both would use it
  // and the region would be overfilled.
  const step = fc.record({
    who: fc.nat(3),
    wanted: fc.nat(9),
    passed: fc.nat(2_000),
  });
  const property = fc.property(
    fc.array(step, { maxLength: 40 }),
    fc.integer({ min: 0, max: 12 }),
    (steps, room) => {
      const grants = new HeadroomGrants();
      let now = 0;
      for (const { who, wanted, passed } of steps) {
        now += passed;
        grants.ask(asker(who), wanted, now);
        grants.grant(asker(who), room, now);
        grants.tick(now);
        const sum = [0, 1, 2, 3]
          .reduce((n, i) => n + grants.granted(asker(i), now), 0);
        if (sum > room) return false;
      }
      return true;
    },
  );
  fc.assert(property, { seed: 11, numRuns: 500 });
  t.pass();
});

function rooms(granted: number) {
  const table = new RemoteRooms();
  const peer = {
    instance: "i1" as InstanceId,
    zone: "z2" as ZoneId,
    region: "r2" as RegionId,
    peerUrl: "http://127.0.0.1:1",
  };
  table.tell(SERVICE, peer, { granted, now: 0 });
  const random = new SeededRandom(3);
  const choose = (now: number) =>
    table.choose(
      { service: SERVICE, exclude: undefined, now, accept: () => true },
      random,
    );
  return { table, peer, choose };
}

test("use of a cold zone grows over three seconds to all that is granted", (t) => {
  const { table, peer, choose } = rooms(20);
  const running = [];
  for (let room = choose(0); room; room = choose(0)) {
    table.take(SERVICE, room, 0);
    running.push(room);
  }
  t.is(running.length, 10);
  for (let now = 500; now <= 3_000; now += 500) {
    table.tell(SERVICE, peer, { granted: 20, now });
    const room = running[0]!;
    table.release(room, "fine", now);
    table.take(SERVICE, room, now);
  }
  t.is(table.allowed(SERVICE, running[0]!, 3_000), 20);
});

test("a figure that is no longer renewed shrinks but never to nothing", (t) => {
  // The other region goes on serving but its batches are lost. Going on at
  // full measure could overload it unseen; stopping would refuse callers that
  // it could serve.
  const { table, choose } = rooms(8);
  const room = choose(0)!;
  t.is(aged(500), 1);
  t.is(aged(4_000), 0.5);
  t.is(table.allowed(SERVICE, room, 3_600_000), 1);
});

test("a room that turned work away is full until it tells anew", (t) => {
  const { table, peer, choose } = rooms(8);
  const room = choose(0)!;
  table.take(SERVICE, room, 0);
  table.release(room, "full", 0);
  t.is(choose(0), undefined);
  table.tell(SERVICE, peer, { granted: 8, now: 100 });
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
  // A region fails over and every instance sends as fast as it can. Each
  // keeping to its own part must be enough, for they do not ask each other.
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
  t.false(budgets!.hasRoom("r2" as RegionId, 1_000));
  t.true(budgets!.spend("r2" as RegionId, 1, 1_000) > 0);
});
