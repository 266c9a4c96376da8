import test from "ava";
import { Buffer } from "node:buffer";
import type { AccountId, EndpointId } from "../core/mod.ts";
import type { RelayedChanges } from "../watcher/mod.ts";
import { MemberFleet, type TestMember } from "./testing/member_fleet.ts";

const ZONES = ["a1", "a2", "b1", "b2", "c1", "c2"];
/** Enough instances in total that zones have relays. */
const PER_ZONE = 5;
const ACCOUNT = "importers" as AccountId;
const E1 = "e1" as EndpointId;
const SETTLE_TIME_MS = 6_000;

async function fleetOf(perZone: number): Promise<MemberFleet> {
  const fleet = new MemberFleet(ZONES, perZone);
  await Promise.resolve();
  fleet.advance(SETTLE_TIME_MS);
  return fleet;
}

function use(member: TestMember, perS: number, admitted: number): void {
  member.uses.set(ACCOUNT, { perS, admitted, level: 0 });
}

/** Sum of an account's usage as reported to a member, without its own. */
function reported(member: TestMember): { perS: number; admitted: number } {
  let perS = 0;
  let admitted = 0;
  for (const { uses } of member.groups.values()) {
    perS += uses.get(ACCOUNT)?.perS ?? 0;
    admitted += uses.get(ACCOUNT)?.admitted ?? 0;
  }
  return { perS, admitted };
}

test("a small fleet gossips in a full mesh", async (t) => {
  const fleet = await fleetOf(2);
  for (const member of fleet.members) {
    t.is(member.groups.size, fleet.members.length - 1);
  }
});

test("in a small fleet two instances of each region watch the store", async (t) => {
  // With one or two instances per zone, watchers per zone would mean that all
  // instances watch, and each endpoint change would cost as many calls.
  const fleet = await fleetOf(2);
  for (const region of ["a", "b", "c"]) {
    const members = fleet.members.filter((m) => m.profile.region === region);
    t.is(members.length, 4);
    t.is(members.filter((m) => m.roles.isStoreWatcher).length, 2);
  }
});

test("in a small fleet a change is relayed across the zones of the region", async (t) => {
  const fleet = await fleetOf(2);
  const batch: RelayedChanges = {
    kind: "endpoints",
    after: 3,
    upTo: 7,
    changes: [],
    holdMs: 0,
  };
  const watches = fleet.members.find((m) => m.roles.isStoreWatcher)!;
  watches.member.relay(batch);
  const got = fleet.members.filter((m) => m.relayed.length > 0);
  t.is(got.length, 2);
  t.true(got.every((m) => m.profile.region === watches.profile.region));
  t.true(got.every((m) => !m.roles.isStoreWatcher));
});

test("in a small fleet others watch the store after the watchers' zone fails", async (t) => {
  // Drains of endpoints must take effect within two seconds after they are
  // stored, even when a zone loses power.
  const fleet = await fleetOf(2);
  const members = fleet.members.filter((m) => m.profile.region === "c");
  for (const member of members) {
    if (member.roles.isStoreWatcher) fleet.kill(member);
  }
  fleet.advance(1_200);
  const alive = members.filter((m) => m.alive);
  t.is(alive.length, 2);
  t.true(alive.every((m) => m.roles.isStoreWatcher));
});

/** Number of instances known to a member, including itself. */
function knownInstanceCount(member: TestMember): number {
  return [...member.groups.values()]
    .reduce((n, { instances }) => n + instances, 1);
}

test("in a large fleet relays receive group reports, and the others one sum", async (t) => {
  const fleet = await fleetOf(PER_ZONE);
  for (const member of fleet.members) {
    const groups = member.roles.isRelay ? PER_ZONE - 1 + ZONES.length - 1 : 1;
    t.is(member.groups.size, groups);
    t.is(knownInstanceCount(member), fleet.members.length);
    t.is(member.member.serving().length, fleet.members.length - 1);
  }
});

test("the two largest instances of each zone watch the store, and one relays", async (t) => {
  // Every change wakes every watcher, at the cost of a call each.
  const fleet = await fleetOf(PER_ZONE);
  for (const zone of ZONES) {
    const members = fleet.membersOf(zone);
    const watchers = members.filter((m) => m.roles.isStoreWatcher);
    t.deepEqual(watchers, members.slice(0, 2));
    t.is(members.filter((m) => m.roles.isRelay).length, 1);
  }
});

test("an instance's traffic does not grow with the size of the other zones", async (t) => {
  // In a full mesh, 30 instances send 3,500 datagrams a second, of which two in
  // three cross between regions; 78 instances send seven times as many.
  const fleet = await fleetOf(PER_ZONE);
  const before = { ...fleet.sent };
  fleet.advance(1_000);
  const perInstance = (fleet.sent.count - before.count) / fleet.members.length;
  t.true(perInstance < 16, `${perInstance} datagrams a second`);
  const across = fleet.sent.acrossBytes - before.acrossBytes;
  t.true(across < 50_000, `${across} bytes a second between regions`);
});

test("demand and admissions of all instances are known everywhere", async (t) => {
  const fleet = await fleetOf(PER_ZONE);
  for (const member of fleet.members) use(member, 1, 10);
  fleet.advance(2_000);
  const before = fleet.members.map((member) => reported(member).admitted);
  for (const member of fleet.members) use(member, 1, 15);
  fleet.advance(2_000);
  // Counters are compared by their increase: admissions before the first report
  // of an account are part of the reported level.
  for (const [i, member] of fleet.members.entries()) {
    t.is(Math.round(reported(member).perS), fleet.members.length - 1);
    const more = reported(member).admitted - (before[i] ?? 0);
    t.is(more, (fleet.members.length - 1) * 5);
  }
});

test("a restart in another zone does not lower the admission counters", async (t) => {
  // Counters restart from zero. Other zones would treat the difference as
  // returned tokens and admit those requests a second time.
  const fleet = await fleetOf(PER_ZONE);
  for (const member of fleet.members) use(member, 1, 10);
  fleet.advance(1_000);
  const [one] = fleet.membersOf("a1");
  const before = reported(one!).admitted;
  const gone = fleet.membersOf("b1")[3]!;
  fleet.kill(gone);
  fleet.advance(3_000);
  t.true(reported(one!).admitted >= before);
});

test("a zone keeps reporting after its relay fails", async (t) => {
  // The other instances of the zone keep serving, and callers must still be sent
  // to them.
  const fleet = await fleetOf(PER_ZONE);
  const relay = fleet.membersOf("b1").find((m) => m.roles.isRelay)!;
  fleet.kill(relay);
  fleet.advance(3_000);
  const [one] = fleet.membersOf("a1");
  const serving = one!.member.serving().map((p) => p.id);
  t.is(serving.filter((id) => id.startsWith("b1")).length, PER_ZONE - 1);
  t.false(serving.includes(relay.profile.id));
});

test("another instance watches the store when a watcher fails or is rejected", async (t) => {
  // Drains of endpoints must take effect within two seconds after they are stored.
  const fleet = await fleetOf(PER_ZONE);
  const [first, second, ...weaker] = fleet.membersOf("c1");
  fleet.kill(first!);
  second!.storeInTouch = false;
  fleet.advance(1_500);
  const watchers = () => weaker.filter((m) => m.roles.isStoreWatcher).length;
  t.true(watchers() >= 2);
  // A third may have taken over before it learned that the second did.
  fleet.advance(4_000);
  t.is(watchers(), 2);
});

test("during a store outage few instances keep watching", async (t) => {
  const fleet = await fleetOf(PER_ZONE);
  for (const member of fleet.members) member.storeInTouch = false;
  fleet.advance(10_000);
  for (const zone of ZONES) {
    const watchers = fleet.membersOf(zone).filter((m) =>
      m.roles.isStoreWatcher
    );
    t.true(watchers.length <= 5, `${watchers.length} watchers`);
  }
});

test("store changes are relayed to the zone's instances that do not watch", async (t) => {
  const fleet = await fleetOf(PER_ZONE);
  const [first] = fleet.membersOf("a1");
  const batch: RelayedChanges = {
    kind: "endpoints",
    after: 3,
    upTo: 7,
    changes: [{ raw: { some: "object" }, deleted: true }],
    holdMs: 12,
  };
  first!.member.relay(batch);
  const large = "x".repeat(20_000);
  first!.member.relay({ ...batch, changes: [{ raw: large, deleted: false }] });
  const got = fleet.members.filter((m) => m.relayed.length > 0);
  t.deepEqual(got, fleet.membersOf("a1").slice(2));
  t.deepEqual(got[0]?.relayed[0], batch);
  // Too large for a datagram: the change is announced and has to be fetched.
  t.is(got[0]?.relayed[1]?.changes, undefined);
});

test("requests in flight are summed over a zone's instances", async (t) => {
  const fleet = await fleetOf(PER_ZONE);
  const endpoint = "e1" as EndpointId;
  for (const member of fleet.membersOf("b2")) member.inFlight.set(endpoint, 2);
  fleet.advance(1_500);
  const [one] = fleet.membersOf("a1");
  const sum = [...one!.groups.values()]
    .reduce((n, { inFlight }) => n + (inFlight.get(endpoint) ?? 0), 0);
  t.is(sum, 2 * PER_ZONE);
});

test("invalid datagrams are ignored", async (t) => {
  // Any host can send to an open port.
  const fleet = await fleetOf(PER_ZONE);
  const [one] = fleet.membersOf("a1");
  const before = one!.groups.size;
  for (let sort = 0; sort < 8; sort++) {
    for (const text of ["", "{", "null", "[]", `{"k":1}`, `{"k":"plans"}`]) {
      one!.receive(Buffer.from([sort, ...Buffer.from(text)]));
    }
  }
  t.is(one!.groups.size, before);
  t.deepEqual(one!.relayed, []);
});

test("a zone's instances know the whole fleet again after their relay fails", async (t) => {
  // The relay is the only source of the others' state. Until its successor
  // publishes, shares of rates are reserved.
  const fleet = await fleetOf(PER_ZONE);
  const candidate = fleet.membersOf("a2").find((m) => m.roles.isRelay);
  const others = fleet.membersOf("a2").filter((m) => m !== candidate);
  fleet.kill(candidate!);
  fleet.advance(2_000);
  for (const other of others) {
    t.is(knownInstanceCount(other), fleet.members.length - 1);
    t.is(other.member.serving().length, fleet.members.length - 2);
  }
});

test("a zone keeps reporting while its relay leaves", async (t) => {
  // If a leaving relay kept its role until it ends, its zone would be suspect for
  // a second, with its share of every account's rate reserved.
  const fleet = await fleetOf(PER_ZONE);
  const relay = fleet.membersOf("b1").find((m) => m.roles.isRelay);
  const one = fleet.membersOf("a1").find((m) => m.roles.isRelay);
  const group = one!.groups.get("zone b1")!;
  relay!.state = "leaving";
  fleet.advance(1_500);
  t.not(one!.groups.get("zone b1")?.start, group.start);
  fleet.kill(relay!);
  one!.suspect.length = 0;
  fleet.advance(4_000);
  t.deepEqual(one!.suspect, []);
  const serving = one!.member.serving().map((p) => p.id);
  t.is(serving.filter((id) => id.startsWith("b1")).length, PER_ZONE - 1);
});

// Guards against a first start at which every instance reads the store because
// no instance serves before the first plan.
test("an instance that has read a kind is a source for it before it serves", async (t) => {
  const fleet = new MemberFleet(ZONES, PER_ZONE);
  for (const member of fleet.members) member.state = "starting";
  await Promise.resolve();
  fleet.advance(SETTLE_TIME_MS);
  const last = fleet.membersOf("a1").at(-1)!;
  t.true(last.member.instancesWithRevision("plans", 1).length > 0);
});

// Guards against a zone without gossip for longer than partitioned instances may
// keep their share of rates.
test("a relay that fails is replaced within a second", async (t) => {
  const fleet = await fleetOf(PER_ZONE);
  const relay = fleet.membersOf("c2").find((m) => m.roles.isRelay)!;
  fleet.kill(relay);
  fleet.advance(1_000);
  const others = fleet.membersOf("c2").filter((m) => m !== relay);
  t.is(others.filter((m) => m.roles.isRelay).length, 1);
});

for (const perZone of [2, PER_ZONE]) {
  // Guards against a limit known only to the instances that received it.
  test(`a limit seen by one of ${ZONES.length * perZone} instances reaches all within a second`, async (t) => {
    const fleet = await fleetOf(perZone);
    const [first, ...others] = fleet.members;
    const learnedAt = fleet.clock.now();
    first?.limits.set(E1, { ratePerS: 6.6, at: learnedAt });
    fleet.advance(1_000);
    for (const { groups, profile } of others) {
      const known = [...groups.values()].flatMap(({ limits }) =>
        limits.get(E1) ?? []
      );
      t.is(known[0]?.ratePerS, 6.6, profile.id);
      // Its age may be off by the transit time of digests.
      t.true(Math.abs((known[0]?.at ?? 0) - learnedAt) <= 50, profile.id);
    }
  });
}

/** Instances of other zones on the list when a member reads it too early. */
const LISTED_EARLY = 14;

const EARLY_READERS: readonly {
  readonly name: string;
  readonly isEarly: (id: string) => boolean;
  /** Whether the list has the others of its zone. */
  readonly knowsZone: boolean;
}[] = [
  {
    name: "an instance",
    isEarly: (id) => id === "a1-4",
    knowsZone: true,
  },
  {
    name: "an instance that knows none of its zone",
    isEarly: (id) => id === "a1-4",
    knowsZone: false,
  },
  {
    name: "a relay that knows none of its zone",
    isEarly: (id) => id === "a1-0",
    knowsZone: false,
  },
  { name: "a zone", isEarly: (id) => id.startsWith("a1-"), knowsZone: true },
  {
    name: "a relay and an instance of another zone",
    isEarly: (id) => id === "a1-0" || id === "b1-4",
    knowsZone: false,
  },
  {
    name: "a relay and its standby",
    isEarly: (id) => id === "a1-0" || id === "a1-1",
    knowsZone: false,
  },
];

for (const { name, isEarly, knowsZone } of EARLY_READERS) {
  // Guards against an instance that takes a large fleet for one that gossips in
  // a full mesh: it hears nobody, and refuses accounts that are within their rate.
  test(`${name}, with a list read before most had registered, hears the whole fleet`, async (t) => {
    const fleet = new MemberFleet(ZONES, PER_ZONE, ({ id, zone }, all) => {
      if (!isEarly(id)) return all;
      const ofZone = all.filter((p) => knowsZone && p.zone === zone);
      const others = all.filter((p) => p.zone !== zone);
      return [...ofZone, ...others.slice(-LISTED_EARLY)];
    });
    await Promise.resolve();
    fleet.advance(SETTLE_TIME_MS);
    for (const { profile, groups } of fleet.members) {
      const heard = [...groups.values()]
        .reduce((sum, { instances }) => sum + instances, 0);
      t.is(heard, fleet.members.length - 1, profile.id);
    }
  });
}

test("a contact with the store is reported through the relays to all zones", async (t) => {
  const fleet = await fleetOf(PER_ZONE);
  for (const member of fleet.membersOf("b1")) member.storeContactMs = 40_000;
  fleet.advance(2_000);
  for (const member of fleet.members) {
    const reported = [...member.groups.values()].map((g) => g.storeContactMs);
    t.true(reported.includes(40_000), member.profile.id);
  }
});

// Guards against a start of all instances that counts as an outage of the store.
test("watchers that are starting have not lost the store", async (t) => {
  const fleet = await fleetOf(PER_ZONE);
  for (const member of fleet.members) {
    member.state = "starting";
    member.storeInTouch = false;
  }
  fleet.advance(2_000);
  const others = () => fleet.members.filter((m) => !m.roles.isStoreWatcher);
  t.true(others().every((m) => m.member.storeWatch === "unknown"));
  for (const member of fleet.members) member.state = "serving";
  fleet.advance(2_000);
  t.true(others().every((m) => m.member.storeWatch === "down"));
});
