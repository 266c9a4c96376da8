import test from "ava";
import { Buffer } from "node:buffer";
import type { AccountId, EndpointId } from "../core/mod.ts";
import type { RelayedChanges } from "../watcher/mod.ts";
import { MemberFleet, type TestMember } from "./testing/member_fleet.ts";

const ZONES = ["a1", "a2", "b1", "b2", "c1", "c2"];
/** Enough in all to be told of by zone. */
const PER_ZONE = 5;
const ACCOUNT = "importers" as AccountId;
const E1 = "e1" as EndpointId;
const SETTLED_MS = 6_000;

async function fleetOf(perZone: number): Promise<MemberFleet> {
  const fleet = new MemberFleet(ZONES, perZone);
  await Promise.resolve();
  fleet.pass(SETTLED_MS);
  return fleet;
}

function use(member: TestMember, perS: number, admitted: number): void {
  member.uses.set(ACCOUNT, { perS, admitted, level: 0 });
}

/** All that a member was told of an account, itself left out. */
function reported(member: TestMember): { perS: number; admitted: number } {
  let perS = 0;
  let admitted = 0;
  for (const { uses } of member.groups.values()) {
    perS += uses.get(ACCOUNT)?.perS ?? 0;
    admitted += uses.get(ACCOUNT)?.admitted ?? 0;
  }
  return { perS, admitted };
}

test("a small fleet tells everybody everything one by one", async (t) => {
  const fleet = await fleetOf(2);
  for (const member of fleet.members) {
    t.is(member.groups.size, fleet.members.length - 1);
  }
});

test("in a small fleet two instances of each region ask the store", async (t) => {
  // Zones have one or two instances each. Were each zone to ask for itself, all
  // would, and each change of an endpoint would cost as many calls.
  const fleet = await fleetOf(2);
  for (const region of ["a", "b", "c"]) {
    const members = fleet.members.filter((m) => m.profile.region === region);
    t.is(members.length, 4);
    t.is(members.filter((m) => m.roles.isStoreWatcher).length, 2);
  }
});

test("in a small fleet a change reaches the region, whatever zone read it", async (t) => {
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

test("in a small fleet others ask when a zone with those that do is lost", async (t) => {
  // The zone loses power. Endpoints' drains must be in force two seconds after
  // the store has them.
  const fleet = await fleetOf(2);
  const members = fleet.members.filter((m) => m.profile.region === "c");
  for (const member of members) {
    if (member.roles.isStoreWatcher) fleet.kill(member);
  }
  fleet.pass(1_200);
  const alive = members.filter((m) => m.alive);
  t.is(alive.length, 2);
  t.true(alive.every((m) => m.roles.isStoreWatcher));
});

/** Instances of which a member knows, itself included. */
function instancesKnown(member: TestMember): number {
  return [...member.groups.values()]
    .reduce((n, { instances }) => n + instances, 1);
}

test("in a large fleet relays hear groups, and the others one sum of them", async (t) => {
  const fleet = await fleetOf(PER_ZONE);
  for (const member of fleet.members) {
    const groups = member.roles.isRelay ? PER_ZONE - 1 + ZONES.length - 1 : 1;
    t.is(member.groups.size, groups);
    t.is(instancesKnown(member), fleet.members.length);
    t.is(member.member.serving().length, fleet.members.length - 1);
  }
});

test("two instances of each zone ask the store, the strongest, and one speaks", async (t) => {
  // Every instance that asks is woken by every change, at a price for each.
  const fleet = await fleetOf(PER_ZONE);
  for (const zone of ZONES) {
    const members = fleet.of(zone);
    const asking = members.filter((m) => m.roles.isStoreWatcher);
    t.deepEqual(asking, members.slice(0, 2));
    t.is(members.filter((m) => m.roles.isRelay).length, 1);
  }
});

test("what an instance sends does not grow with the other zones' instances", async (t) => {
  // Told one by one, 30 instances send each other 3,500 datagrams a second, of
  // which two in three cross between regions; 78 instances seven times as many.
  const fleet = await fleetOf(PER_ZONE);
  const before = { ...fleet.sent };
  fleet.pass(1_000);
  const perInstance = (fleet.sent.count - before.count) / fleet.members.length;
  t.true(perInstance < 16, `${perInstance} datagrams a second`);
  const across = fleet.sent.acrossBytes - before.acrossBytes;
  t.true(across < 50_000, `${across} bytes a second between regions`);
});

test("what all instances ask and admit is known everywhere", async (t) => {
  const fleet = await fleetOf(PER_ZONE);
  for (const member of fleet.members) use(member, 1, 10);
  fleet.pass(2_000);
  const before = fleet.members.map((member) => reported(member).admitted);
  for (const member of fleet.members) use(member, 1, 15);
  fleet.pass(2_000);
  // Counts are read as differences: what was admitted before an instance first
  // heard of an account is in the level that it is told.
  for (const [i, member] of fleet.members.entries()) {
    t.is(Math.round(reported(member).perS), fleet.members.length - 1);
    const more = reported(member).admitted - (before[i] ?? 0);
    t.is(more, (fleet.members.length - 1) * 5);
  }
});

test("a restart in another zone does not look like requests taken back", async (t) => {
  // Counts begin anew with a start. Other zones would take the difference for
  // tokens that are there again, and admit them a second time.
  const fleet = await fleetOf(PER_ZONE);
  for (const member of fleet.members) use(member, 1, 10);
  fleet.pass(1_000);
  const [one] = fleet.of("a1");
  const before = reported(one!).admitted;
  const gone = fleet.of("b1")[3]!;
  fleet.kill(gone);
  fleet.pass(3_000);
  t.true(reported(one!).admitted >= before);
});

test("a zone is heard on when its speaker dies", async (t) => {
  // The speaker loses power. The others of its zone go on serving, and callers
  // are sent to them on.
  const fleet = await fleetOf(PER_ZONE);
  const relay = fleet.of("b1").find((m) => m.roles.isRelay)!;
  fleet.kill(relay);
  fleet.pass(3_000);
  const [one] = fleet.of("a1");
  const serving = one!.member.serving().map((p) => p.id);
  t.is(serving.filter((id) => id.startsWith("b1")).length, PER_ZONE - 1);
  t.false(serving.includes(relay.profile.id));
});

test("another asks the store when one that does dies or is turned away", async (t) => {
  // Endpoints' drains must be in force two seconds after the store has them.
  const fleet = await fleetOf(PER_ZONE);
  const [first, second, ...weaker] = fleet.of("c1");
  fleet.kill(first!);
  second!.storeInTouch = false;
  fleet.pass(1_500);
  const asking = () => weaker.filter((m) => m.roles.isStoreWatcher).length;
  t.true(asking() >= 2);
  // A third may have stepped in before it heard of the second.
  fleet.pass(4_000);
  t.is(asking(), 2);
});

test("while the store is away for all, few ask in vain", async (t) => {
  const fleet = await fleetOf(PER_ZONE);
  for (const member of fleet.members) member.storeInTouch = false;
  fleet.pass(10_000);
  for (const zone of ZONES) {
    const asking = fleet.of(zone).filter((m) => m.roles.isStoreWatcher);
    t.true(asking.length <= 5, `${asking.length} ask`);
  }
});

test("changes in the store go to the instances of the zone that do not ask", async (t) => {
  const fleet = await fleetOf(PER_ZONE);
  const [first] = fleet.of("a1");
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
  t.deepEqual(got, fleet.of("a1").slice(2));
  t.deepEqual(got[0]?.relayed[0], batch);
  // Too large for a datagram: announced, to be fetched.
  t.is(got[0]?.relayed[1]?.changes, undefined);
});

test("requests in flight of a zone's instances are summed", async (t) => {
  const fleet = await fleetOf(PER_ZONE);
  const endpoint = "e1" as EndpointId;
  for (const member of fleet.of("b2")) member.inFlight.set(endpoint, 2);
  fleet.pass(1_500);
  const [one] = fleet.of("a1");
  const sum = [...one!.groups.values()]
    .reduce((n, { inFlight }) => n + (inFlight.get(endpoint) ?? 0), 0);
  t.is(sum, 2 * PER_ZONE);
});

test("bytes that are no datagram of ours change nothing", async (t) => {
  // Anything can reach an open port.
  const fleet = await fleetOf(PER_ZONE);
  const [one] = fleet.of("a1");
  const before = one!.groups.size;
  for (let sort = 0; sort < 8; sort++) {
    for (const text of ["", "{", "null", "[]", `{"k":1}`, `{"k":"plans"}`]) {
      one!.take(Buffer.from([sort, ...Buffer.from(text)]));
    }
  }
  t.is(one!.groups.size, before);
  t.deepEqual(one!.relayed, []);
});

test("the zone is heard on when the one that hands out dies", async (t) => {
  // Everybody hears of everybody through one instance. It loses power; until
  // the next hands out, shares of rates are set aside.
  const fleet = await fleetOf(PER_ZONE);
  const candidate = fleet.of("a2").find((m) => m.roles.isRelay);
  const others = fleet.of("a2").filter((m) => m !== candidate);
  fleet.kill(candidate!);
  fleet.pass(2_000);
  for (const other of others) {
    t.is(instancesKnown(other), fleet.members.length - 1);
    t.is(other.member.serving().length, fleet.members.length - 2);
  }
});

test("a zone is heard on when its speaker leaves", async (t) => {
  // The speaker is replaced. Were it heard until it ends, its zone would be
  // suspect for a second then, with its share of every account's rate set aside.
  const fleet = await fleetOf(PER_ZONE);
  const relay = fleet.of("b1").find((m) => m.roles.isRelay);
  const one = fleet.of("a1").find((m) => m.roles.isRelay);
  const group = one!.groups.get("zone b1")!;
  relay!.state = "leaving";
  fleet.pass(1_500);
  t.not(one!.groups.get("zone b1")?.start, group.start);
  fleet.kill(relay!);
  one!.suspect.length = 0;
  fleet.pass(4_000);
  t.deepEqual(one!.suspect, []);
  const serving = one!.member.serving().map((p) => p.id);
  t.is(serving.filter((id) => id.startsWith("b1")).length, PER_ZONE - 1);
});

// Guards against a first start that reads the store at every instance since
// none serves before the first plan.
test("an instance that has read a kind is asked for it before it serves", async (t) => {
  const fleet = new MemberFleet(ZONES, PER_ZONE);
  for (const member of fleet.members) member.state = "starting";
  await Promise.resolve();
  fleet.pass(SETTLED_MS);
  const last = fleet.of("a1").at(-1)!;
  t.true(last.member.knowing("plans", 1).length > 0);
});

// Guards against a zone that hears of nobody for longer than a share of rates
// may be left to instances that are cut off.
test("the next relays within a second of a relay's end", async (t) => {
  const fleet = await fleetOf(PER_ZONE);
  const relay = fleet.of("c2").find((m) => m.roles.isRelay)!;
  fleet.kill(relay);
  fleet.pass(1_000);
  const others = fleet.of("c2").filter((m) => m !== relay);
  t.is(others.filter((m) => m.roles.isRelay).length, 1);
});

for (const perZone of [2, PER_ZONE]) {
  // Guards against a limit that only the instances know that were told it.
  test(`what one of ${ZONES.length * perZone} instances learns of a limit reaches all within a second`, async (t) => {
    const fleet = await fleetOf(perZone);
    const [first, ...others] = fleet.members;
    const learnedAt = fleet.clock.now();
    first?.limits.set(E1, { ratePerS: 6.6, at: learnedAt });
    fleet.pass(1_000);
    for (const { groups, profile } of others) {
      const known = [...groups.values()].flatMap(({ limits }) =>
        limits.get(E1) ?? []
      );
      t.is(known[0]?.ratePerS, 6.6, profile.id);
      // Older than that by the ways of digests at most.
      t.true(Math.abs((known[0]?.at ?? 0) - learnedAt) <= 50, profile.id);
    }
  });
}
