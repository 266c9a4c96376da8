/**
 * Random sequences of fleet operations, as data that fast-check can shrink.
 *
 * @module
 */
import fc from "fast-check";
import { invariant } from "../../decisions/budgets/mod.ts";
import { BudgetFleet, type FleetSpec } from "./budget_fleet.ts";
import { FakeSeats } from "./fake_seats.ts";

/** One operation on the fleet. */
export type FleetOp =
  | { readonly kind: "wait"; readonly ms: number }
  | {
    readonly kind: "load";
    readonly node: number;
    readonly account: string;
    readonly count: number;
  }
  | { readonly kind: "work"; readonly node: number; readonly count: number }
  | { readonly kind: "pause"; readonly node: number; readonly ms: number }
  | { readonly kind: "kill"; readonly node: number }
  | { readonly kind: "restart"; readonly node: number }
  | { readonly kind: "hand_over"; readonly node: number }
  | { readonly kind: "cut"; readonly zone: string; readonly off: boolean }
  | { readonly kind: "store"; readonly down: boolean }
  | {
    readonly kind: "network";
    readonly drop: number;
    readonly repeat: number;
    readonly maxDelayMs: number;
  }
  | { readonly kind: "seats"; readonly zone: string; readonly seats: number };

/** Two zones of two instances, a large and a very small burst, a few slots. */
export const FLEET_SPEC: FleetSpec = {
  zones: { a: 2, b: 2 },
  rates: {
    large: { rate_per_s: 100, burst: 40 },
    small: { rate_per_s: 4, burst: 2 },
  },
  slots: 6,
  deadlineMs: 800,
};

const NODES = 4;
const MAX_OPS = 40;
const STEP_MS = 20;
/** Fraction of the deadline; long enough that work often outlasts the lease of its slot. */
const MIN_WORK_FRACTION = 0.3;

/** Arbitrary sequences of operations. */
export function fleetOps(): fc.Arbitrary<FleetOp[]> {
  const node = fc.integer({ min: 0, max: NODES - 1 });
  const zone = fc.constantFrom("a", "b");
  const op = fc.oneof(
    {
      weight: 6,
      arbitrary: fc.record({
        kind: fc.constant("wait" as const),
        ms: fc.integer({ min: 10, max: 1_200 }),
      }),
    },
    {
      weight: 10,
      arbitrary: fc.record({
        kind: fc.constant("load" as const),
        node,
        account: fc.constantFrom("large", "small"),
        count: fc.integer({ min: 1, max: 60 }),
      }),
    },
    {
      weight: 6,
      arbitrary: fc.record({
        kind: fc.constant("work" as const),
        node,
        count: fc.integer({ min: 1, max: 8 }),
      }),
    },
    {
      weight: 2,
      arbitrary: fc.record({
        kind: fc.constant("pause" as const),
        node,
        ms: fc.integer({ min: 50, max: 4_000 }),
      }),
    },
    fc.record({ kind: fc.constant("kill" as const), node }),
    fc.record({ kind: fc.constant("restart" as const), node }),
    fc.record({ kind: fc.constant("hand_over" as const), node }),
    fc.record({
      kind: fc.constant("cut" as const),
      zone,
      off: fc.boolean(),
    }),
    fc.record({ kind: fc.constant("store" as const), down: fc.boolean() }),
    {
      weight: 2,
      arbitrary: fc.record({
        kind: fc.constant("network" as const),
        drop: fc.constantFrom(0, 0.1, 0.4),
        repeat: fc.constantFrom(0, 0.3),
        maxDelayMs: fc.constantFrom(15, 120, 1_500),
      }),
    },
    fc.record({
      kind: fc.constant("seats" as const),
      zone,
      seats: fc.integer({ min: 1, max: 3 }),
    }),
  );
  return fc.array(op, { minLength: 5, maxLength: MAX_OPS });
}

/** Applies the operations; throws if a sum of shares exceeds its total. */
export async function runFleetOps(
  seed: number,
  ops: readonly FleetOp[],
): Promise<BudgetFleet> {
  const fleet = new BudgetFleet(seed, FLEET_SPEC);
  await fleet.advance(500);
  for (const op of ops) {
    apply(fleet, op);
    await fleet.advance(op.kind === "wait" ? op.ms : STEP_MS);
  }
  await fleet.advance(1_500);
  for (const account of Object.keys(FLEET_SPEC.rates)) {
    const over = fleet.countOverRate(account);
    invariant(over === 0, `${account}: ${over} admitted above its rate`);
  }
  return fleet;
}

function apply(fleet: BudgetFleet, op: FleetOp): void {
  switch (op.kind) {
    case "wait":
      return;
    case "load":
      return load(fleet, op);
    case "work":
      return work(fleet, op);
    case "pause":
      return fleet.pause(nodeOf(fleet, op.node), op.ms);
    case "kill":
      return fleet.kill(nodeOf(fleet, op.node).instance);
    case "restart": {
      const { instance, zone } = nodeOf(fleet, op.node);
      fleet.start(instance, zone);
      return;
    }
    case "hand_over":
      return handOver(fleet, op.node);
    case "cut":
      return fleet.cut(op.zone, op.off);
    case "store":
      fleet.table.down = op.down;
      return;
    case "network":
      Object.assign(fleet.faults, op);
      return;
    case "seats":
      return changeSeats(fleet, op);
  }
}

function nodeOf(fleet: BudgetFleet, index: number) {
  const names = [...new Set(fleet.nodes.map((n) => n.instance))];
  const name = names[index % names.length];
  return fleet.nodes.findLast((n) => n.instance === name)!;
}

function load(
  fleet: BudgetFleet,
  op: Extract<FleetOp, { kind: "load" }>,
): void {
  const node = nodeOf(fleet, op.node);
  for (let i = 0; i < op.count; i++) {
    void fleet.request(node, op.account, FLEET_SPEC.deadlineMs);
  }
}

function work(
  fleet: BudgetFleet,
  op: Extract<FleetOp, { kind: "work" }>,
): void {
  const node = nodeOf(fleet, op.node);
  for (let i = 0; i < op.count; i++) {
    const fraction = MIN_WORK_FRACTION +
      (1 - MIN_WORK_FRACTION) * fleet.random.next();
    fleet.work(node, fraction * FLEET_SPEC.deadlineMs);
  }
}

function handOver(fleet: BudgetFleet, index: number): void {
  const from = nodeOf(fleet, index);
  if (from.clock.dead || from.clock.paused) return;
  const to = fleet.live().find((n) => n.zone === from.zone && n !== from);
  if (to === undefined || !(from.seats instanceof FakeSeats)) return;
  from.seats.handOver(to.sender);
}

function changeSeats(
  fleet: BudgetFleet,
  op: Extract<FleetOp, { kind: "seats" }>,
): void {
  const zones = { ...fleet.spec.zones, [op.zone]: op.seats };
  fleet.change({ ...fleet.spec, zones }, 1_500);
}
