import test from "ava";
import { failure } from "../core/mod.ts";
import { combineFailures } from "./request_pipeline.ts";

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
  test(`combined failure of attempts, ${name}: ${outcome}`, (t) => {
    // The first endpoint fails part-way and the second sheds the request. With
    // outcome not-run the caller would assume that nothing was executed.
    const combined = tries.reduce(
      (last, next) => combineFailures(last, next),
      undefined as Parameters<typeof combineFailures>[0],
    );
    t.is(combined?.outcome, outcome);
  });
}
