import test from "ava";
import { type FaultKind, soak } from "./soak.ts";

// Runs each kind of fault alone and in overlapping pairs, such as an instance
// killed while the store is down, a key withdrawn during a network partition,
// or an instance paused while messages are dropped. No property in
// soak_checks.ts may be violated during the faults or after the repair.

const FIRST_FAULT_STEP = 3;
const SECOND_FAULT_STEP = 12;
const REPAIR_STEP = 40;
const STEPS = 70;

const CASES: readonly (readonly FaultKind[])[] = [
  ["measurements stop"],
  ["kill"],
  ["region dies"],
  ["withdraw"],
  ["store down"],
  ["store loses answers"],
  ["pause"],
  ["race"],
  ["store down", "kill"],
  ["store down", "stop"],
  ["cut", "withdraw"],
  ["messages dropped", "pause"],
  ["store loses answers", "race"],
  ["region dies", "store down"],
  ["answers lost", "stop"],
];

for (const [i, kinds] of CASES.entries()) {
  test(`${kinds.join(", then ")}`, async (t) => {
    const [first, second] = kinds;
    const script = new Map<number, FaultKind[]>([[REPAIR_STEP, ["mend"]]]);
    if (first) script.set(FIRST_FAULT_STEP, [first]);
    if (second) script.set(SECOND_FAULT_STEP, [second]);
    const result = await soak({ seed: 100 + i, steps: STEPS, script });
    t.deepEqual(result.violations, []);
    t.is(result.faults, kinds.length + 1, result.trace.join("; "));
    t.true(result.answered > 0);
  });
}
