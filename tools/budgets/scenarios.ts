/**
 * Scenarios: how each account's requests are routed and which faults occur.
 *
 * @module
 */
import type { Random } from "../../src/core/mod.ts";
import type {
  BudgetFleet,
  FleetNode,
} from "../../src/instance/testing/budget_fleet.ts";

/** Picks the instance that receives a request of the account. */
export type Route = (
  account: number,
  live: readonly FleetNode[],
  random: Random,
) => FleetNode | undefined;

/** One pattern of load and failure. */
export interface Scenario {
  readonly name: string;
  /** Returns the routing for the current time; called for each request. */
  readonly route: (nowMs: number) => Route;
  /** Faults, injected `atMs` after the measurement began. */
  readonly events?: readonly {
    readonly atMs: number;
    readonly run: (fleet: BudgetFleet) => void;
  }[];
}

const MOVE_INTERVAL_MS = 5_000;
const FAULT_AT_MS = 15_000;
const FAULT_END_MS = 35_000;
const PARTITIONED_ZONE = "eu-central-a";

/** The scenarios in the order of the report. */
export const SCENARIOS: readonly Scenario[] = [
  { name: "steady", route: () => pickRandom },
  {
    name: "all to one",
    route: () => (account, live) => pickByIndex(live, account),
  },
  {
    name: "moving every 5 s",
    route: (nowMs) => (account, live) =>
      pickByIndex(live, account + 5 * Math.floor(nowMs / MOVE_INTERVAL_MS)),
  },
  {
    name: "one killed, spread",
    route: () => pickRandom,
    events: [{ atMs: FAULT_AT_MS, run: killFirst }],
  },
  {
    name: "one killed, all to one",
    route: () => (account, live) => pickByIndex(live, account % 4),
    events: [{ atMs: FAULT_AT_MS, run: killFirst }],
  },
  {
    name: "one zone cut",
    route: () => pickRandom,
    events: [
      { atMs: FAULT_AT_MS, run: (fleet) => setZonePartitioned(fleet, true) },
      { atMs: FAULT_END_MS, run: (fleet) => setZonePartitioned(fleet, false) },
    ],
  },
  {
    name: "store down",
    route: () => pickRandom,
    events: [
      { atMs: FAULT_AT_MS, run: (fleet) => setStoreDown(fleet, 1) },
      { atMs: FAULT_END_MS, run: (fleet) => setStoreDown(fleet, 0) },
    ],
  },
];

function pickRandom(
  _account: number,
  live: readonly FleetNode[],
  random: Random,
): FleetNode | undefined {
  return live[random.below(live.length)];
}

function pickByIndex(
  live: readonly FleetNode[],
  index: number,
): FleetNode | undefined {
  return live[index % live.length];
}

function killFirst(fleet: BudgetFleet): void {
  const first = fleet.live()[0];
  if (first) fleet.kill(first.instance);
}

function setZonePartitioned(fleet: BudgetFleet, on: boolean): void {
  fleet.cut(PARTITIONED_ZONE, on);
  for (const node of fleet.live()) {
    if (node.zone === PARTITIONED_ZONE) node.platform.faults.down = on ? 1 : 0;
  }
}

function setStoreDown(fleet: BudgetFleet, down: number): void {
  for (const node of fleet.live()) node.platform.faults.down = down;
}
