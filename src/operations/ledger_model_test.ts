import test from "ava";
import { explore, type InjectedFault } from "./testing/ledger_model.ts";

/**
 * An operation is attempted twice while messages are lost, duplicated and
 * reordered and processes crash at any step. In every order the endpoint
 * receives it at most once, and no caller falsely receives "not run".
 */
for (const homeKind of ["token", "seat"] as const) {
  test(`every interleaving at a ${homeKind} runs it at most once`, (t) => {
    const found = explore({ homeKind, fault: "none", repeats: 1, asks: 2 });
    t.log(`${found.states} states`);
    t.is(found.violation, "", found.trace.join("; "));
    t.true(found.states > 500);
  });
}

/** Checks that the model can fail: it detects each injected fault. */
const INJECTED: [InjectedFault, "token" | "seat", string][] = [
  ["second_place_skipped", "token", "not-run was false"],
  ["fence_skipped", "token", "not-run was false"],
  ["refusal_forgotten", "token", "not-run was false"],
  ["second_place_skipped", "seat", "dispatched twice"],
  ["epoch_ignored", "seat", "dispatched twice"],
];

for (const [fault, homeKind, violation] of INJECTED) {
  test(`the model finds ${fault} at a ${homeKind}`, (t) => {
    const found = explore({ homeKind, fault, repeats: 1, asks: 2 });
    t.log(found.trace.join("; "));
    t.is(found.violation, violation);
  });
}
