import test from "ava";
import { RepeatChecker } from "./repeat_checker.ts";

/** Repeats that are refused, when 100 requests came in a second. */
function violationsOf(repeatsAt: readonly number[]): number {
  let violations = 0;
  const checker = new RepeatChecker(() => violations++);
  for (let i = 0; i < 100; i++) {
    checker.sent(i * 10);
    checker.arrived(`q${i}`, i * 10);
  }
  for (const [i, at] of repeatsAt.entries()) checker.arrived(`q${i}`, at);
  return violations;
}

test("first arrivals and the repeats of the budget are allowed", (t) => {
  t.is(violationsOf(Array.from({ length: 40 }, () => 2_000)), 0);
});

test("a repeat beyond the ratio and the fixed part is a violation", (t) => {
  t.is(violationsOf(Array.from({ length: 41 }, () => 2_000)), 1);
});

test("repeats of another window do not count, but its requests do", (t) => {
  const early = Array.from({ length: 40 }, () => 2_000);
  const late = Array.from({ length: 40 }, () => 12_500);
  t.is(violationsOf([...early, ...late]), 0);
});
