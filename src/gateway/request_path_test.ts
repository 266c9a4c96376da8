import test from "ava";
import { failure } from "../core/mod.ts";
import { worse } from "./request_path.ts";

const NOT_RUN = failure("endpoint_failed", "shed", { outcome: "not-run" });
const UNKNOWN = failure("endpoint_failed", "broke", { outcome: "unknown" });

const TRIES = [
  { name: "one that did not run", tries: [NOT_RUN], outcome: "not-run" },
  {
    name: "two that did not run",
    tries: [NOT_RUN, NOT_RUN],
    outcome: "not-run",
  },
  {
    name: "the last may have run",
    tries: [NOT_RUN, UNKNOWN],
    outcome: "unknown",
  },
  {
    name: "the first may have run",
    tries: [UNKNOWN, NOT_RUN],
    outcome: "unknown",
  },
] as const;

for (const { name, tries, outcome } of TRIES) {
  test(`tries told as one, ${name}: ${outcome}`, (t) => {
    // The first endpoint broke off half way and the second refused at once.
    // Told as not run, the caller would believe that nothing happened.
    const told = tries.reduce(
      (last, next) => worse(last, next),
      undefined as Parameters<typeof worse>[0],
    );
    t.is(told?.outcome, outcome);
  });
}
