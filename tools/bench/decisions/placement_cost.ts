/**
 * Cost of placing one request by affinity key.
 *
 * @module
 */
import { performance } from "node:perf_hooks";
import {
  type EndpointId,
  hash,
  type RegionId,
  SeededRandom,
  type ServiceId,
  type ZoneId,
} from "../../../src/core/mod.ts";
import {
  AffinityPlacement,
  NOTHING_PINNED,
  type Placement,
  ReplicaSetPlacement,
} from "../../../src/decisions/placement/mod.ts";
import { EndpointRow } from "../../../src/traffic/mod.ts";

/** Mean time of a choice by strategy, in microseconds. */
export interface PlacementCost {
  readonly strategy: string;
  /** Choices among an unchanged list of endpoints. */
  readonly choice_us: number;
  /** The first choice for each key after the list has changed. */
  readonly first_choice_us: number;
}

const ENDPOINTS = 106;
const KEYS = 200;
const SLOTS = 4;
const REGIONS = ["r0", "r1", "r2"] as RegionId[];
const ROUNDS = 40_000;
const WARM_UP = 10_000;
/** Changes of the list of endpoints over which first choices are averaged. */
const LISTS = 40;
/** Time between two requests of an instance, in milliseconds. */
const REQUEST_INTERVAL_MS = 20;
const US_PER_MS = 1_000;

/** Measures each strategy with 106 endpoints, 200 keys and varying load. */
export function measurePlacement(): PlacementCost[] {
  const random = new SeededRandom(1);
  return [
    measure("affinity", new AffinityPlacement()),
    measure("replica sets", new ReplicaSetPlacement({ random })),
  ];
}

function measure(strategy: string, placement: Placement): PlacementCost {
  const rows = createRows();
  const random = new SeededRandom(1);
  let requests = 0;
  const choose = (list: readonly EndpointRow[], i: number) => {
    rows[random.below(ENDPOINTS)]!.inFlight = random.below(SLOTS + 2);
    return placement.choose(list, {
      affinityKey: `key-${i % KEYS}`,
      region: REGIONS[0]!,
      regions: REGIONS,
      pinned: NOTHING_PINNED,
      priority: 0,
      meanLatencyMs: 260,
      meanWorkMs: 260,
      now: requests++ * REQUEST_INTERVAL_MS,
      leftMs: 4_000,
      instances: 80,
      isConnected: (row) => row.inFlight > 1,
      usable: (row) => !row.leaving,
    });
  };
  for (let i = 0; i < WARM_UP; i++) choose(rows, i);
  const choiceMs = timeOf(() => {
    for (let i = 0; i < ROUNDS; i++) choose(rows, i);
  });
  const firstMs = timeOf(() => {
    for (let i = 0; i < LISTS; i++) {
      const list = [...rows];
      for (let key = 0; key < KEYS; key++) choose(list, key);
    }
  });
  return {
    strategy,
    choice_us: round(choiceMs / ROUNDS * US_PER_MS),
    first_choice_us: round(firstMs / (LISTS * KEYS) * US_PER_MS),
  };
}

function createRows(): EndpointRow[] {
  return Array.from({ length: ENDPOINTS }, (_, i) => {
    const id = `e${i}` as EndpointId;
    const region = REGIONS[i % REGIONS.length]!;
    const record = {
      id,
      service: "s" as ServiceId,
      address: "",
      zone: region as string as ZoneId,
      slots: SLOTS,
      draining: false,
      coldMs: 0,
      bornAt: undefined,
    };
    return new EndpointRow(record, region, { seed: hash(id), now: 0 });
  });
}

function timeOf(run: () => void): number {
  const from = performance.now();
  run();
  return performance.now() - from;
}

function round(us: number): number {
  return Math.round(us * 100) / 100;
}
