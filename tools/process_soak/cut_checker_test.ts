import test from "ava";
import type { CallerResult } from "../../platform/testing/fake_caller.ts";
import { CutChecker } from "./cut_checker.ts";
import type { SentAttempt } from "./property_checker.ts";

const ANSWER: CallerResult = {
  kind: "answer",
  faithful: true,
  endpoint: "e1",
  leaving: false,
  limited: false,
};
const REFUSAL: CallerResult = { kind: "not-run", status: 503 };
const CUT_MS = 60_000;
/** Sent while callers of cut instances are to be served. */
const SENT_AFTER_MS = 5_000;

function attempt(instance: string): SentAttempt {
  return {
    request: "q1",
    host: "h",
    path: "/",
    key: "k",
    object: "o",
    idempotent: true,
    clientTimeoutMs: 1_000,
    account: "a",
    instance,
    life: 1,
    sentAt: Date.now() + SENT_AFTER_MS,
    since: 1,
  };
}

/** The findings when `x` is cut and refuses, in the presence of `other`. */
function findings(
  other: { readonly isCut?: boolean; readonly isCalm?: boolean },
): string[] {
  const found: string[] = [];
  const checker = new CutChecker({
    isCalm: (id) => id === "x" || other.isCalm !== false,
    instances: () => ["x", "other"],
    onViolation: (property) => found.push(property),
  });
  const until = Date.now() + CUT_MS;
  checker.cutOff(["x"], until);
  for (let i = 0; i < 100; i++) checker.answered(attempt("other"), ANSWER);
  if (other.isCut) checker.cutOff(["other"], until);
  for (let i = 0; i < 100; i++) checker.answered(attempt("x"), REFUSAL);
  checker.finish();
  return found;
}

test("a cut instance that refuses is found by those that are not cut", (t) => {
  t.is(findings({}).length, 1);
});

// Guards against findings where no instance could have served.
test("attempts while every instance is cut or disturbed do not count", (t) => {
  t.deepEqual(findings({ isCut: true }), []);
  t.deepEqual(findings({ isCalm: false }), []);
});
