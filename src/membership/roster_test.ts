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
import { InstanceListPoller } from "./instance_list_poller.ts";
import { EVICT_AFTER_MS, MEMBER_TIMEOUT_MS, Roster } from "./roster.ts";

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

function receiveFrom(roster: Roster, id: string): void {
  const { peerUrl, callerUrl, zone, region } = listed(id);
  const sender = { instance: id, zone, region, peerUrl, callerUrl };
  roster.receive(create(BatchSchema), create(SenderSchema, sender));
}

function live(roster: Roster): string[] {
  return roster.live().map((m) => m.instance);
}

test("a silent member is removed only if it is off the platform's list", (t) => {
  // With a hundred replacements a day, calls to removed instances would soon
  // outnumber those to live ones.
  const clock = new ManualClock();
  const roster = new Roster(clock, "self");
  receiveFrom(roster, "gone");
  receiveFrom(roster, "silent");
  clock.advance(EVICT_AFTER_MS + 1);
  roster.applyList([listed("silent")]);
  t.deepEqual(roster.members().map((m) => m.instance), ["silent"]);
});

test("a live member absent from the lagging list is kept", (t) => {
  const clock = new ManualClock();
  const roster = new Roster(clock, "self");
  receiveFrom(roster, "new");
  roster.applyList([]);
  t.deepEqual(live(roster), ["new"]);
});

test("a pause of this process does not make other members look silent", (t) => {
  // The process is paused for 10 s and receives no message meanwhile. A look-up
  // right after it must still list the other instances.
  const clock = new ManualClock();
  const roster = new Roster(clock, "self");
  receiveFrom(roster, "mate");
  roster.run(clock.now());
  clock.advance(10_000);
  roster.run(clock.now());
  t.deepEqual(live(roster), ["mate"]);
  for (let at = 0; at <= MEMBER_TIMEOUT_MS; at += 100) {
    clock.advance(100);
    roster.run(clock.now());
  }
  t.deepEqual(live(roster), []);
});

test("polls of the instance list grow more slowly than the zone", async (t) => {
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
    new InstanceListPoller({
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
        for (const id of ids) receiveFrom(roster, id);
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
