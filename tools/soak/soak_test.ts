import test from "ava";
import {
  type ComponentOverrides,
  DocumentFollower,
} from "../../src/instance/mod.ts";
import { LeasedSeats } from "../../src/membership/mod.ts";
import { LocalOperations } from "../../src/operations/mod.ts";
import { type FaultKind, soak } from "./soak.ts";

const STEPS = 100;
const EDITS_AT = [10, 30, 50, 70, 90, 110, 130, 150];

test("what must always hold does, seed 205 at 480 steps", async (t) => {
  // A tenth of the messages between instances is lost while one stops in good
  // order and another takes its place. The newcomer has not heard of the place
  // that holds the leaver's records, does not ask it, and a caller that repeats
  // its request has it run a second time, as a doubled order.
  const result = await soak({ seed: 205, steps: 480 });
  t.deepEqual(result.violations, []);
});

for (const seed of [1, 2]) {
  test(`what must always hold does, seed ${seed}`, async (t) => {
    // Instances die, pause and leave, messages and answers are lost, operators
    // race and the store fails, in any order. Each property is judged by what
    // callers and endpoints saw.
    const result = await soak({ seed, steps: STEPS });
    t.deepEqual(result.violations, []);
    t.true(result.answered > 0);
  });
}

/** Uses a seat whatever the time: a pause goes unnoticed. */
class UncheckedSeats extends LeasedSeats {
  override held() {
    return super.held(-Infinity);
  }
}

/** Takes whatever generation differs from the one in force. */
class DiffersFollower extends DocumentFollower {
  protected override isProcessed(generation: number): boolean {
    return generation === this.generation;
  }
}

const PLANTED: readonly {
  name: string;
  steps: number;
  parts: ComponentOverrides;
  script: readonly (readonly [number, readonly FaultKind[]])[];
  property: string;
}[] = [
  {
    name: "a lease that is not checked after a pause",
    steps: 170,
    parts: { seats: UncheckedSeats },
    script: [[3, ["pause"]], [150, ["mend"]]],
    property: "no client account gets more than its rate",
  },
  {
    name: "a generation compared by differs",
    steps: 250,
    parts: { follower: DiffersFollower },
    script: [
      [3, Array(8).fill("store stale")],
      ...EDITS_AT.map((step) => [step, ["race"]] as const),
    ],
    property: "a document never reverts",
  },
  {
    name: "operations without a second place",
    steps: 50,
    parts: { operations: LocalOperations },
    script: [],
    property: "an operation runs at most once",
  },
];

for (const { name, steps, parts, script, property } of PLANTED) {
  test(`the run catches ${name}`, async (t) => {
    // The fault is handed in as a class. A check that lets it pass would let
    // the same mistake pass in the library.
    const { violations } = await soak({
      seed: 2,
      steps,
      parts,
      script: new Map(script),
    });
    t.true(violations.some((v) => v.property === property));
  });
}
