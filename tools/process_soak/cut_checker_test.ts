import test from "ava";
import type { CallerResult } from "../../platform/testing/fake_caller.ts";
import { CutChecker } from "./cut_checker.ts";
import type { SentAttempt } from "./property_checker.ts";

const ANSWER: CallerResult = {
  kind: "answer",
  faithful: true,
  endpoint: "e1",
  leaving: false,
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

/** The findings when `x` is cut and refuses, and `other` is cut as well or not. */
function findings(other: { readonly isCut: boolean }): string[] {
  const found: string[] = [];
  const checker = new CutChecker({
    isCalm: () => true,
    onViolation: (property) => found.push(property),
  });
  const until = Date.now() + CUT_MS;
  checker.cutOff(["x"], until);
  if (other.isCut) checker.cutOff(["other"], until);
  for (let i = 0; i < 100; i++) {
    checker.answered(attempt("x"), REFUSAL);
    checker.answered(attempt("other"), ANSWER);
  }
  checker.finish();
  return found;
}

test("a cut instance that refuses is found by those that are not cut", (t) => {
  t.is(findings({ isCut: false }).length, 1);
});

// Guards against findings by instances that live on connections of another cut.
test("instances of other cuts are no measure", (t) => {
  t.deepEqual(findings({ isCut: true }), []);
});
