/**
 * Cost of one decision at today's size and at the planned size.
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
import { roundTo } from "../figures.ts";

/** Size of the whole system. */
export interface FleetSize {
  readonly name: string;
  readonly sites: number;
  readonly zones: number;
  readonly instances: number;
  readonly accounts: number;
}

/** Mean time of a decision, in microseconds. */
export interface DecisionCost {
  readonly size: string;
  /** Acquiring and releasing a slot while slots are free. */
  readonly dispatch_us: number;
  /** Serving a request from a queue of 256. */
  readonly queued_us: number;
  /** One entry lookup. */
  readonly lookup_us: number;
}

/** Today's size and the planned size. */
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
const US_PER_MS = 1_000;

/** Measures one size. */
export async function measureCost(size: FleetSize): Promise<DecisionCost> {
  return {
    size: size.name,
    dispatch_us: roundTo(await dispatchCost(size), 2),
    queued_us: roundTo(await queuedCost(size), 2),
    lookup_us: roundTo(lookupCost(size), 2),
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
  return (performance.now() - from) / ROUNDS * US_PER_MS;
}

/** Keeps the queue full: for each request served, another one is added. */
async function queuedCost(size: FleetSize): Promise<number> {
  const { dispatcher, accountOf, clock } = setup(size);
  const held: Slot[] = [];
  let requestCount = 0;
  const sendRequest = () =>
    void dispatcher.acquire(requestOf(accountOf(requestCount++))).then(
      (slot) => {
        if (slot.isOk()) held.push(slot.value);
      },
    );
  const capacity = dispatcher.load(clock.now())[0]?.capacity ?? 0;
  for (let i = 0; i < capacity + QUEUED; i++) sendRequest();
  await Promise.resolve();
  const from = performance.now();
  for (let i = 0; i < QUEUE_ROUNDS; i++) {
    held.shift()?.release("ok", clock.now());
    sendRequest();
    await Promise.resolve();
    await Promise.resolve();
  }
  return (performance.now() - from) / QUEUE_ROUNDS * US_PER_MS;
}

function lookupCost(size: FleetSize): number {
  const chooser = new EntryChooser(new SeededRandom(1));
  const candidates = Array.from({ length: size.instances }, (_, i) => ({
    instance: `i${i}` as InstanceId,
    url: `http://127.0.0.1:${i}`,
    zone: `z${i % size.zones}` as ZoneId,
    region: `r${i % size.zones >> 1}` as RegionId,
  }));
  const location = { zone: "z0" as ZoneId, region: "r0" as RegionId };
  chooser.prepare(candidates);
  for (let i = 0; i < WARM_UP; i++) chooser.choose(location);
  const from = performance.now();
  for (let i = 0; i < ROUNDS; i++) chooser.choose(location);
  return (performance.now() - from) / ROUNDS * US_PER_MS;
}

function setup(size: FleetSize) {
  const clock = new ManualClock();
  const dispatcher = new FairDispatcher({
    clock,
    random: new SeededRandom(1),
    metrics: new MemoryMetrics(),
    zone: "z0" as ZoneId,
    limits: new UndividedSlotLimits(),
  });
  dispatcher.adopt(documentOf(size), 0);
  const accountOf = (i: number) => `a${i % size.accounts}` as AccountId;
  return { dispatcher, accountOf, clock };
}

function requestOf(account: AccountId) {
  return { service: SERVICE, account, idempotent: true, deadline: 1e9 };
}

/** Gives one instance all slots, so that only its decisions are measured. */
class UndividedSlotLimits implements SlotLimits {
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
