import test from "ava";
import { create } from "@bufbuild/protobuf";
import {
  InstanceId,
  ManualClock,
  RegionId,
  SeededRandom,
  ZoneId,
} from "../core/mod.ts";
import { BatchSchema, SenderSchema } from "../gen/peer_pb.ts";
import { type ListedInstance, MemoryPlatform } from "../store/mod.ts";
import { ListReader } from "./list_reader.ts";
import { FORGET_MS, Roster, SILENT_MS } from "./roster.ts";

function listed(id: string): ListedInstance {
  return {
    instance: InstanceId.parse(id),
    zone: ZoneId.parse("z1"),
    region: RegionId.parse("r1"),
    peerUrl: `http://${id}`,
    callerUrl: `http://${id}`,
    state: "live",
  };
}

function hear(roster: Roster, id: string): void {
  const { peerUrl, callerUrl, zone, region } = listed(id);
  const sender = { instance: id, zone, region, peerUrl, callerUrl };
  roster.absorb(create(BatchSchema), create(SenderSchema, sender));
}

function live(roster: Roster): string[] {
  return roster.live().map((m) => m.instance);
}

test("an instance that was replaced is forgotten, one that is listed is not", (t) => {
  // A hundred instances are replaced a day. If none were forgotten, the calls
  // to those long gone would soon outnumber those to the living.
  const clock = new ManualClock();
  const roster = new Roster(clock, "self");
  hear(roster, "gone");
  hear(roster, "silent");
  clock.advance(FORGET_MS + 1);
  roster.adoptList([listed("silent")]);
  t.deepEqual(roster.members().map((m) => m.instance), ["silent"]);
});

test("a lagging list that lacks a member does not make it forgotten", (t) => {
  const clock = new ManualClock();
  const roster = new Roster(clock, "self");
  hear(roster, "new");
  roster.adoptList([]);
  t.deepEqual(live(roster), ["new"]);
});

test("an instance that was paused suspects nobody because of it", (t) => {
  // The process is stopped for ten seconds. Nobody was heard meanwhile, and
  // without this a caller that asks right after would be told of no other
  // instance, while all of them are there.
  const clock = new ManualClock();
  const roster = new Roster(clock, "self");
  hear(roster, "mate");
  roster.run(clock.now());
  clock.advance(10_000);
  roster.run(clock.now());
  t.deepEqual(live(roster), ["mate"]);
  for (let at = 0; at <= SILENT_MS; at += 100) {
    clock.advance(100);
    roster.run(clock.now());
  }
  t.deepEqual(live(roster), []);
});

test("calls for the list grow more slowly than the zone", async (t) => {
  const clock = new ManualClock();
  const platform = new MemoryPlatform(clock);
  let reads = 0;
  const counted = Object.assign(Object.create(platform), {
    instances: () => {
      reads += 1;
      return platform.instances();
    },
  });
  const ids = Array.from({ length: 10 }, (_, i) => `i${i}`);
  const rosters = ids.map((id) => new Roster(clock, id));
  const readers = ids.map((id, i) =>
    new ListReader({
      instance: InstanceId.parse(id),
      zone: ZoneId.parse("z1"),
      platform: counted,
      roster: rosters[i] as Roster,
      clock,
      random: new SeededRandom(i),
    })
  );
  const run = async (seconds: number) => {
    reads = 0;
    for (let s = 0; s < seconds; s++) {
      clock.advance(1_000);
      for (const roster of rosters) {
        for (const id of ids) hear(roster, id);
      }
      for (const reader of readers) reader.run(clock.now());
      await new Promise((resolve) => setImmediate(resolve));
    }
    return reads / seconds;
  };
  await run(40);
  const perSecond = await run(200);
  t.true(perSecond < 1.2, `${perSecond} calls a second by ten instances`);
});
