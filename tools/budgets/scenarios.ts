/**
 * Where the requests of an account go, and what fails meanwhile.
 *
 * @module
 */
import type { Random } from "../../src/core/mod.ts";
import type {
  BudgetFleet,
  FleetNode,
} from "../../src/instance/testing/budget_fleet.ts";

/** Picks the instance that a request of the account goes to. */
export type Route = (
  account: number,
  live: readonly FleetNode[],
  random: Random,
) => FleetNode | undefined;

/** One pattern of load and failure. */
export interface Scenario {
  readonly name: string;
  /** How the requests find instances; called anew for each request. */
  readonly route: (nowMs: number) => Route;
  /** What happens `atMs` after the measurement began. */
  readonly events?: readonly {
    readonly atMs: number;
    readonly run: (fleet: BudgetFleet) => void;
  }[];
}

const MOVE_MS = 5_000;
const FAULT_AT_MS = 15_000;
const FAULT_END_MS = 35_000;
const CUT_ZONE = "eu-central-a";

/** The scenarios in the order of the report. */
export const SCENARIOS: readonly Scenario[] = [
  { name: "steady", route: () => spread },
  { name: "all to one", route: () => (account, live) => at(live, account) },
  {
    name: "moving every 5 s",
    route: (nowMs) => (account, live) =>
      at(live, account + 5 * Math.floor(nowMs / MOVE_MS)),
  },
  {
    name: "one killed, spread",
    route: () => spread,
    events: [{ atMs: FAULT_AT_MS, run: killFirst }],
  },
  {
    name: "one killed, all to one",
    route: () => (account, live) => at(live, account % 4),
    events: [{ atMs: FAULT_AT_MS, run: killFirst }],
  },
  {
    name: "one zone cut",
    route: () => spread,
    events: [
      { atMs: FAULT_AT_MS, run: (fleet) => cut(fleet, true) },
      { atMs: FAULT_END_MS, run: (fleet) => cut(fleet, false) },
    ],
  },
  {
    name: "store down",
    route: () => spread,
    events: [
      { atMs: FAULT_AT_MS, run: (fleet) => storeDown(fleet, 1) },
      { atMs: FAULT_END_MS, run: (fleet) => storeDown(fleet, 0) },
    ],
  },
];

function spread(
  _account: number,
  live: readonly FleetNode[],
  random: Random,
): FleetNode | undefined {
  return live[random.below(live.length)];
}

function at(live: readonly FleetNode[], index: number): FleetNode | undefined {
  return live[index % live.length];
}

function killFirst(fleet: BudgetFleet): void {
  const first = fleet.live()[0];
  if (first) fleet.kill(first.instance);
}

function cut(fleet: BudgetFleet, off: boolean): void {
  fleet.cut(CUT_ZONE, off);
  for (const node of fleet.live()) {
    if (node.zone === CUT_ZONE) node.platform.faults.down = off ? 1 : 0;
  }
}

function storeDown(fleet: BudgetFleet, down: number): void {
  for (const node of fleet.live()) node.platform.faults.down = down;
}
