import { create } from "@bufbuild/protobuf";
import test from "ava";
import { ok } from "neverthrow";
import {
  type AccountId,
  fail,
  type InstanceId,
  ManualClock,
  MemoryMetrics,
  type RegionId,
  SeededRandom,
  type ServiceId,
  type ZoneId,
} from "../core/mod.ts";
import { EvenSlotLimits, type Slot } from "../decisions/steering/mod.ts";
import { parseDocument, type SteeringDocument } from "../document/mod.ts";
import type { EndpointClient } from "../endpoints/mod.ts";
import { BatchSchema, SenderSchema } from "../gen/peer_pb.ts";
import { Roster, type SeatDirectory } from "../membership/mod.ts";
import { parseSettings } from "../settings/mod.ts";
import { Steering } from "./steering.ts";

const REGIONS = ["r1", "r2", "r3"] as const;
const SERVICE = "s" as ServiceId;
const SLOTS = 20;
const WORK_MS = 50;
const TICK_MS = 100;
/** Part of a region's slots that its own callers fill. */
const OWN_LOAD = 0.4;
const HEADROOM = 0.2;

function documentOf(drains: readonly string[]): SteeringDocument {
  const regions = REGIONS.map((r) => [r, {
    zones: { [zoneOf(r)]: { instances: 1 } },
    headroom: HEADROOM,
  }]);
  const endpoints = REGIONS.map((r) => [`e-${r}`, {
    zone: zoneOf(r),
    url: "http://127.0.0.1:1",
    slots: SLOTS,
    connections: 390,
  }]);
  return parseDocument({
    regions: { regions: Object.fromEntries(regions) },
    services: {
      services: { s: { endpoints: Object.fromEntries(endpoints) } },
    },
    drains: { drains: drains.map((id) => ({ kind: "region", id })) },
  })._unsafeUnwrap();
}

function zoneOf(region: string): string {
  return `z-${region}`;
}

const READY: EndpointClient = {
  send: () => Promise.resolve(fail("internal", "nothing is sent")),
  probe: () => Promise.resolve(ok({ ready: true, inFlight: 0 })),
  close: () => Promise.resolve(),
};

function seatOf(region: string): SeatDirectory {
  const zone = zoneOf(region) as ZoneId;
  const seat = { zone, index: 0, epoch: 1, part: 1, until: Infinity };
  return { held: () => [seat], entries: () => [] };
}

function setup() {
  const clock = new ManualClock();
  const world = { document: documentOf([]) };
  const make = (region: string, seed: number) => {
    const cfg = parseSettings({
      instance: { id: `i-${region}`, zone: zoneOf(region), region },
      platform: { url: "http://127.0.0.1:1" },
    })._unsafeUnwrap();
    const seats = seatOf(region);
    const metrics = new MemoryMetrics();
    const steering = new Steering({
      cfg,
      clock,
      metrics,
      seats,
      random: new SeededRandom(seed),
      endpoints: READY,
      roster: new Roster(clock, cfg.instance.id),
      limits: new EvenSlotLimits(seats),
      document: () => world.document,
      leaving: () => false,
      running: () => 0,
    });
    const { id, zone } = cfg.instance;
    const sender = create(SenderSchema, {
      instance: id,
      zone,
      region,
      incarnation: id,
      peerUrl: `http://${id}`,
    });
    return { region, steering, sender };
  };
  const fleet = REGIONS.map(make);
  const adopt = (drains: readonly string[]) => {
    world.document = documentOf(drains);
    for (const { steering } of fleet) {
      steering.adopt(world.document, clock.now());
    }
  };
  const exchange = () => {
    for (const from of fleet) {
      for (const to of fleet.filter((f) => f !== from)) {
        const batch = create(BatchSchema, { sender: from.sender });
        from.steering.exchange.fill(batch, to.sender.instance);
        to.steering.exchange.receive(batch, from.sender);
      }
    }
  };
  adopt([]);
  return { clock, fleet, adopt, exchange };
}

type Setup = ReturnType<typeof setup>;
type Member = Setup["fleet"][number];

interface Counts {
  served: number;
  notRun: number;
  longestWaitMs: number;
}

/** Callers of every region at a steady rate; work takes {@link WORK_MS}. */
class Callers {
  readonly counts = new Map<string, Counts>();
  mostForwarded = 0;
  mostRunning = 0;
  readonly #setup: Setup;
  readonly #ends: { at: number; release: () => void }[] = [];
  #owed = 0;

  constructor(setup: Setup) {
    this.#setup = setup;
  }

  async run(ms: number): Promise<void> {
    const { clock, fleet, exchange } = this.#setup;
    for (let i = 0; i < ms; i++) {
      clock.advance(1);
      const now = clock.now();
      for (const end of this.#ends.splice(0)) {
        if (end.at <= now) end.release();
        else this.#ends.push(end);
      }
      if (now % TICK_MS === 0) {
        for (const { steering } of fleet) steering.tick(now);
        exchange();
      }
      this.#arrive();
      for (let n = 0; n < 6; n++) await Promise.resolve();
      this.#observe();
    }
  }

  of(region: string): Counts {
    const known = this.counts.get(region);
    if (known) return known;
    const counts = { served: 0, notRun: 0, longestWaitMs: 0 };
    this.counts.set(region, counts);
    return counts;
  }

  #arrive(): void {
    this.#owed += SLOTS * OWN_LOAD / WORK_MS;
    for (; this.#owed >= 1; this.#owed -= 1) {
      for (const member of this.#setup.fleet) this.#send(member);
    }
  }

  #send({ region, steering }: Member): void {
    const { clock } = this.#setup;
    const sentAt = clock.now();
    const req = {
      service: SERVICE,
      account: "a" as AccountId,
      idempotent: true,
      deadline: sentAt + 2_000,
    };
    void steering.dispatcher.acquire(req).then((slot) => {
      const counts = this.of(region);
      const waited = clock.now() - sentAt;
      counts.longestWaitMs = Math.max(counts.longestWaitMs, waited);
      const run = slot.isOk() && this.#reach(slot.value, { region, req });
      if (run) counts.served += 1;
      else counts.notRun += 1;
    });
  }

  /** Runs the work here, or beyond the other instance if it takes it. */
  #reach(slot: Slot, { region, req }: {
    region: string;
    req: Parameters<Member["steering"]["dispatcher"]["acquire"]>[0];
  }): boolean {
    const { clock, fleet } = this.#setup;
    const releases = [slot];
    if (slot.forward) {
      const there = fleet.find((f) =>
        f.sender.instance === slot.forward?.instance
      )!;
      const from = {
        instance: `i-${region}` as InstanceId,
        region: region as RegionId,
      };
      const taken = there.steering.intake.admit(req, from, clock.now());
      if (taken.isErr()) {
        slot.release("shed", clock.now());
        return false;
      }
      releases.push(taken.value);
    }
    const release = () => {
      for (const held of releases) held.release("ok", clock.now());
    };
    this.#ends.push({ at: clock.now() + WORK_MS, release });
    return true;
  }

  #observe(): void {
    const last = this.#setup.fleet[2]!.steering;
    const running = last.local.inFlight("e-r3" as never);
    this.mostRunning = Math.max(this.mostRunning, running);
    const forwarded = last.intake.inFlight(SERVICE);
    this.mostForwarded = Math.max(this.mostForwarded, forwarded);
  }
}

test("two regions that fail over at once do not overfill the third", async (t) => {
  // Two of three regions are drained in one edit, and both send their callers'
  // work to the third, which could take one of them. Its own callers must not
  // notice, and those it cannot take must hear so at once.
  const world = setup();
  const callers = new Callers(world);
  await callers.run(2_000);
  t.is(callers.of("r3").notRun, 0);
  world.adopt(["r1", "r2"]);
  await callers.run(15_000);
  t.true(callers.mostRunning <= SLOTS, `${callers.mostRunning} ran`);
  const room = SLOTS * (1 - HEADROOM - OWN_LOAD);
  t.true(callers.mostForwarded <= room + 2, `${callers.mostForwarded} came`);
  t.is(callers.of("r3").notRun, 0);
  t.true(callers.of("r3").longestWaitMs <= WORK_MS);
  callers.counts.clear();
  await callers.run(5_000);
  for (const region of ["r1", "r2"]) {
    const { served, notRun, longestWaitMs } = callers.of(region);
    t.true(served / (served + notRun) > 0.3, `${region} ${served} ${notRun}`);
    t.true(longestWaitMs <= 2 * WORK_MS, `${region} waited ${longestWaitMs}`);
  }
});

test("a drained region's callers are served by the others", async (t) => {
  // One region of three is drained, and the others have room for all of its
  // work. Refusals are noticed where the shift waits for caches to warm.
  const world = setup();
  const callers = new Callers(world);
  await callers.run(2_000);
  world.adopt(["r1"]);
  callers.counts.clear();
  await callers.run(1_000);
  const first = callers.of("r1");
  t.true(first.notRun <= 10, `${first.notRun} refused in the first second`);
  callers.counts.clear();
  await callers.run(5_000);
  t.is(callers.of("r1").notRun, 0);
  t.is(callers.of("r2").notRun + callers.of("r3").notRun, 0);
});
