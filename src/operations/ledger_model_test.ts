import test from "ava";
import { explore, type PlantedFault } from "./testing/ledger_model.ts";

/**
 * An operation is attempted twice while messages are lost, repeated and
 * reordered and processes end at any step. Whatever the order, the endpoint
 * sees it once at most, and nobody who was told "not run" was told so falsely.
 */
for (const world of ["token", "seat"] as const) {
  test(`every interleaving at a ${world} runs it at most once`, (t) => {
    const found = explore({ world, fault: "none", repeats: 1, asks: 2 });
    t.log(`${found.states} states`);
    t.is(found.violation, "", found.trace.join("; "));
    t.true(found.states > 500);
  });
}

/** A check that cannot fail shows nothing: each planted fault is found. */
const PLANTED: [PlantedFault, "token" | "seat", string][] = [
  ["second_place_skipped", "token", "not-run was false"],
  ["fence_skipped", "token", "not-run was false"],
  ["refusal_forgotten", "token", "not-run was false"],
  ["second_place_skipped", "seat", "dispatched twice"],
  ["epoch_ignored", "seat", "dispatched twice"],
];

for (const [fault, world, violation] of PLANTED) {
  test(`the model finds ${fault} at a ${world}`, (t) => {
    const found = explore({ world, fault, repeats: 1, asks: 2 });
    t.log(found.trace.join("; "));
    t.is(found.violation, violation);
  });
}
