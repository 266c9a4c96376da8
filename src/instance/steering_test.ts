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
  SilentLog,
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
/** Fraction of a region's slots used by its own callers. */
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
      log: new SilentLog(),
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
        from.steering.loadExchange.fill(batch, to.sender.instance);
        to.steering.loadExchange.receive(batch, from.sender);
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

/** Callers in every region at a constant rate; requests take {@link WORK_MS}. */
class Callers {
  readonly counts = new Map<string, Counts>();
  maxForwarded = 0;
  maxInFlight = 0;
  readonly #setup: Setup;
  readonly #pendingCompletions: { at: number; release: () => void }[] = [];
  #dueArrivals = 0;

  constructor(setup: Setup) {
    this.#setup = setup;
  }

  async run(ms: number): Promise<void> {
    const { clock, fleet, exchange } = this.#setup;
    for (let i = 0; i < ms; i++) {
      clock.advance(1);
      const now = clock.now();
      for (const end of this.#pendingCompletions.splice(0)) {
        if (end.at <= now) end.release();
        else this.#pendingCompletions.push(end);
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

  countsFor(region: string): Counts {
    const known = this.counts.get(region);
    if (known) return known;
    const counts = { served: 0, notRun: 0, longestWaitMs: 0 };
    this.counts.set(region, counts);
    return counts;
  }

  #arrive(): void {
    this.#dueArrivals += SLOTS * OWN_LOAD / WORK_MS;
    for (; this.#dueArrivals >= 1; this.#dueArrivals -= 1) {
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
      const counts = this.countsFor(region);
      const waited = clock.now() - sentAt;
      counts.longestWaitMs = Math.max(counts.longestWaitMs, waited);
      const run = slot.isOk() && this.#execute(slot.value, { region, req });
      if (run) counts.served += 1;
      else counts.notRun += 1;
    });
  }

  /** Runs the request here, or at another instance if that admits it. */
  #execute(slot: Slot, { region, req }: {
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
      const taken = there.steering.forwardedAdmission.admit(
        req,
        from,
        clock.now(),
      );
      if (taken.isErr()) {
        slot.release("shed", clock.now());
        return false;
      }
      releases.push(taken.value);
    }
    const release = () => {
      for (const held of releases) held.release("ok", clock.now());
    };
    this.#pendingCompletions.push({ at: clock.now() + WORK_MS, release });
    return true;
  }

  #observe(): void {
    const last = this.#setup.fleet[2]!.steering;
    const running = last.local.inFlight("e-r3" as never);
    this.maxInFlight = Math.max(this.maxInFlight, running);
    const forwarded = last.forwardedAdmission.inFlight(SERVICE);
    this.maxForwarded = Math.max(this.maxForwarded, forwarded);
  }
}

test("two regions that fail over at once do not overload the third", async (t) => {
  // Two of three regions are drained in one edit, and both forward requests to
  // the third, which has capacity for one of them. Its own callers must not be
  // affected, and requests above its capacity must be refused at once.
  const world = setup();
  const callers = new Callers(world);
  await callers.run(2_000);
  t.is(callers.countsFor("r3").notRun, 0);
  world.adopt(["r1", "r2"]);
  await callers.run(15_000);
  t.true(callers.maxInFlight <= SLOTS, `${callers.maxInFlight} in flight`);
  const room = SLOTS * (1 - HEADROOM - OWN_LOAD);
  t.true(callers.maxForwarded <= room + 2, `${callers.maxForwarded} forwarded`);
  t.is(callers.countsFor("r3").notRun, 0);
  t.true(callers.countsFor("r3").longestWaitMs <= WORK_MS);
  callers.counts.clear();
  await callers.run(5_000);
  for (const region of ["r1", "r2"]) {
    const { served, notRun, longestWaitMs } = callers.countsFor(region);
    t.true(served / (served + notRun) > 0.3, `${region} ${served} ${notRun}`);
    t.true(longestWaitMs <= 2 * WORK_MS, `${region} waited ${longestWaitMs}`);
  }
});

test("callers of a drained region are served by the other regions", async (t) => {
  // One region of three is drained, and the others have capacity for all its
  // requests. If the shift waited for warm caches, requests would be refused.
  const world = setup();
  const callers = new Callers(world);
  await callers.run(2_000);
  world.adopt(["r1"]);
  callers.counts.clear();
  await callers.run(1_000);
  const first = callers.countsFor("r1");
  t.true(first.notRun <= 10, `${first.notRun} refused in the first second`);
  callers.counts.clear();
  await callers.run(5_000);
  t.is(callers.countsFor("r1").notRun, 0);
  t.is(callers.countsFor("r2").notRun + callers.countsFor("r3").notRun, 0);
});
