import test from "ava";
import type { RegionId } from "../core/mod.ts";
import { callerAddresses } from "./mod.ts";
import { MemberFleet, type TestMember } from "./testing/member_fleet.ts";

/** Region a has two zones. */
const ZONES = ["a1", "a2", "b1"];
const SETTLE_TIME_MS = 12_000;
const REGION = "a" as RegionId;

async function fleetOf(perZone: number): Promise<MemberFleet> {
  const fleet = new MemberFleet(ZONES, perZone);
  for (const member of fleet.members) member.utilization = 0.1;
  await Promise.resolve();
  fleet.advance(SETTLE_TIME_MS);
  return fleet;
}

/** The addresses that a member names to callers of region a. */
function named({ member, profile, state }: TestMember): string[] {
  const others = {
    serving: member.serving(),
    isolated: member.isolated(),
    reserves: member.reserves(),
  };
  return callerAddresses(others, { profile, state }, REGION);
}

function addressesOf(members: readonly TestMember[]): string[] {
  return members.map((m) => m.profile.callerAddress).sort();
}

function isStrong({ profile }: TestMember): boolean {
  return /-[01]$/.test(profile.id);
}

function inRegion(fleet: MemberFleet): TestMember[] {
  return fleet.members.filter((m) => m.profile.region === REGION && m.alive);
}

// With 4 a zone the fleet is a full mesh, with 10 zones have relays: reserves of
// other zones are then known from zone digests and aggregates.
for (const perZone of [4, 10]) {
  test(`${perZone} a zone: all instances name the strong ones of a region`, async (t) => {
    const fleet = await fleetOf(perZone);
    const strong = addressesOf(inRegion(fleet).filter(isStrong));
    for (const member of fleet.members) {
      t.deepEqual(named(member), strong, member.profile.id);
      t.is(member.member.isReserve, !isStrong(member), member.profile.id);
      t.is(member.member.fleetSize, fleet.members.length);
      t.is(member.member.serving().length, fleet.members.length - 1);
    }
  });

  test(`${perZone} a zone: when a strong instance is killed its zone is named`, async (t) => {
    const fleet = await fleetOf(perZone);
    fleet.kill(fleet.membersOf("a1").find(isStrong)!);
    fleet.advance(2_500);
    const expected = addressesOf(
      inRegion(fleet).filter((m) => isStrong(m) || m.profile.zone === "a1"),
    );
    for (const member of fleet.members) {
      if (member.alive) t.deepEqual(named(member), expected, member.profile.id);
    }
  });

  test(`${perZone} a zone: when the strong are in use all are named`, async (t) => {
    const fleet = await fleetOf(perZone);
    for (const m of fleet.members) if (isStrong(m)) m.utilization = 0.7;
    fleet.advance(2_000);
    const all = addressesOf(inRegion(fleet));
    for (const member of fleet.members) t.deepEqual(named(member), all);
  });

  // Guards against a directory of failed instances alone: the relays are strong,
  // so nothing is reported from the zones for a while.
  test(`${perZone} a zone: when all strong instances are killed the others are named`, async (t) => {
    const fleet = await fleetOf(perZone);
    for (const m of fleet.members) if (isStrong(m)) fleet.kill(m);
    // A relay is overdue after 0.7 s; each instance looks once a period of 0.25 s.
    fleet.advance(1_000);
    const all = addressesOf(inRegion(fleet));
    const members = inRegion(fleet);
    for (const member of members) {
      // Also without reserves, a new relay knows other zones only later.
      const known = new Set(member.member.serving().map((p) => p.id));
      const alive = members.filter((m) =>
        m === member || known.has(m.profile.id)
      );
      const missing = addressesOf(alive).filter((a) =>
        !named(member).includes(a)
      );
      t.deepEqual(missing, [], member.profile.id);
    }
    fleet.advance(3_000);
    t.true(members.every((m) => !m.member.isReserve));
    for (const member of members) {
      t.deepEqual(named(member), all, member.profile.id);
    }
  });

  // Guards against an instance that hears of nobody and leaves itself out.
  test(`${perZone} a zone: an instance that is cut off names itself`, async (t) => {
    const fleet = await fleetOf(perZone);
    const weak = fleet.membersOf("a1").find((m) => !isStrong(m))!;
    weak.cut = true;
    fleet.advance(2_500);
    t.false(weak.member.isReserve);
    t.deepEqual(named(weak), [weak.profile.callerAddress]);
  });

  test(`${perZone} a zone: without a known utilization there are no reserves`, async (t) => {
    const fleet = await fleetOf(perZone);
    for (const m of fleet.members) delete m.utilization;
    fleet.advance(1_500);
    t.true(fleet.members.every((m) => !m.member.isReserve));
  });
}
