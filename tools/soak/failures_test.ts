import test from "ava";
import { type FaultKind, soak } from "./soak.ts";

// Each kind of failure alone, and pairs that have met: a process dies while
// the store is down, a key is withdrawn while its zone is cut off, an instance
// is paused while messages come late. What a user would notice is written with
// each property in soak_checks.ts; here none of it may be seen, neither while
// the fault lasts nor after it was mended.

const STRIKE_AT = 3;
const SECOND_AT = 12;
const MEND_AT = 40;
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
    const script = new Map<number, FaultKind[]>([[MEND_AT, ["mend"]]]);
    if (first) script.set(STRIKE_AT, [first]);
    if (second) script.set(SECOND_AT, [second]);
    const result = await soak({ seed: 100 + i, steps: STEPS, script });
    t.deepEqual(result.violations, []);
    t.is(result.faults, kinds.length + 1, result.trace.join("; "));
    t.true(result.answered > 0);
  });
}
