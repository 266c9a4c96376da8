/**
 * What one decision costs at today's size and at the size to come.
 *
 * @module
 */
import { performance } from "node:perf_hooks";
import {
  type AccountId,
  type EndpointId,
  type InstanceId,
  ManualClock,
  MemoryMetrics,
  type RegionId,
  SeededRandom,
  type ServiceId,
  type ZoneId,
} from "../../../src/core/mod.ts";
import { EntryChooser } from "../../../src/decisions/lookup/mod.ts";
import {
  FairDispatcher,
  type Slot,
  type SlotLimits,
} from "../../../src/decisions/steering/mod.ts";
import {
  parseDocument,
  type SteeringDocument,
} from "../../../src/document/mod.ts";

/** A size of the whole system. */
export interface FleetSize {
  readonly name: string;
  readonly sites: number;
  readonly zones: number;
  readonly instances: number;
  readonly accounts: number;
}

/** Microseconds of one decision each. */
export interface DecisionCost {
  readonly size: string;
  /** A slot taken and given back while there is room. */
  readonly dispatch_us: number;
  /** A request that waits among 256 and is served in turn. */
  readonly queued_us: number;
  /** One answer to a look-up. */
  readonly lookup_us: number;
}

/** Today and the size to come. */
export const SIZES: readonly FleetSize[] = [
  { name: "today", sites: 42, zones: 6, instances: 12, accounts: 8 },
  {
    name: "planned",
    sites: 3_900,
    zones: 60,
    instances: 2_000,
    accounts: 10_000,
  },
];

const SERVICE = "s" as ServiceId;
const SLOTS = 4;
const ROUNDS = 40_000;
const WARM_UP = 5_000;
const QUEUED = 256;
const QUEUE_ROUNDS = 8_000;
const PER_MS = 1_000;

/** Measures one size. */
export async function measureCost(size: FleetSize): Promise<DecisionCost> {
  return {
    size: size.name,
    dispatch_us: round(await dispatchCost(size)),
    queued_us: round(await queuedCost(size)),
    lookup_us: round(lookupCost(size)),
  };
}

async function dispatchCost(size: FleetSize): Promise<number> {
  const { dispatcher, accountOf, clock } = setup(size);
  const once = async (i: number) => {
    const slot = await dispatcher.acquire(requestOf(accountOf(i)));
    slot._unsafeUnwrap().release("ok", clock.now());
  };
  for (let i = 0; i < WARM_UP; i++) await once(i);
  const from = performance.now();
  for (let i = 0; i < ROUNDS; i++) await once(i);
  return (performance.now() - from) / ROUNDS * PER_MS;
}

/** Keeps the queue full: each slot given back serves one and one more joins. */
async function queuedCost(size: FleetSize): Promise<number> {
  const { dispatcher, accountOf, clock } = setup(size);
  const held: Slot[] = [];
  let asked = 0;
  const ask = () =>
    void dispatcher.acquire(requestOf(accountOf(asked++))).then((slot) => {
      if (slot.isOk()) held.push(slot.value);
    });
  const room = dispatcher.load(clock.now())[0]?.capacity ?? 0;
  for (let i = 0; i < room + QUEUED; i++) ask();
  await Promise.resolve();
  const from = performance.now();
  for (let i = 0; i < QUEUE_ROUNDS; i++) {
    held.shift()?.release("ok", clock.now());
    ask();
    await Promise.resolve();
    await Promise.resolve();
  }
  return (performance.now() - from) / QUEUE_ROUNDS * PER_MS;
}

function lookupCost(size: FleetSize): number {
  const chooser = new EntryChooser(new SeededRandom(1));
  const candidates = Array.from({ length: size.instances }, (_, i) => ({
    instance: `i${i}` as InstanceId,
    url: `http://127.0.0.1:${i}`,
    zone: `z${i % size.zones}` as ZoneId,
    region: `r${i % size.zones >> 1}` as RegionId,
  }));
  const place = { zone: "z0" as ZoneId, region: "r0" as RegionId };
  chooser.prepare(candidates);
  for (let i = 0; i < WARM_UP; i++) chooser.choose(place);
  const from = performance.now();
  for (let i = 0; i < ROUNDS; i++) chooser.choose(place);
  return (performance.now() - from) / ROUNDS * PER_MS;
}

function setup(size: FleetSize) {
  const clock = new ManualClock();
  const dispatcher = new FairDispatcher({
    clock,
    random: new SeededRandom(1),
    metrics: new MemoryMetrics(),
    zone: "z0" as ZoneId,
    limits: new WholeLimits(),
  });
  dispatcher.adopt(documentOf(size), 0);
  const accountOf = (i: number) => `a${i % size.accounts}` as AccountId;
  return { dispatcher, accountOf, clock };
}

function requestOf(account: AccountId) {
  return { service: SERVICE, account, idempotent: true, deadline: 1e9 };
}

/** One instance has all slots, so that its decisions alone are measured. */
class WholeLimits implements SlotLimits {
  readonly #slots = new Map<EndpointId, number>();

  adopt(document: SteeringDocument): void {
    for (const service of Object.values(document.services)) {
      for (const [id, entry] of Object.entries(service.endpoints)) {
        this.#slots.set(id as EndpointId, entry.slots);
      }
    }
  }

  limit(endpoint: EndpointId): number {
    return this.#slots.get(endpoint) ?? 0;
  }

  report(): void {}
}

function documentOf(size: FleetSize): SteeringDocument {
  const zones = Array.from({ length: size.zones }, (_, i) => [`z${i}`, {}]);
  const endpoints = Array.from({ length: size.sites }, (_, i) => [`e${i}`, {
    zone: `z${i % size.zones}`,
    url: `http://127.0.0.1:${10_000 + i}`,
    slots: SLOTS,
    connections: 360,
  }]);
  const accounts = Array.from(
    { length: size.accounts },
    (_, i) => [`a${i}`, {}],
  );
  return parseDocument({
    accounts: { accounts: Object.fromEntries(accounts) },
    regions: { regions: { r: { zones: Object.fromEntries(zones) } } },
    services: {
      services: { s: { endpoints: Object.fromEntries(endpoints) } },
    },
  })._unsafeUnwrap();
}

function round(us: number): number {
  return Math.round(us * 100) / 100;
}
