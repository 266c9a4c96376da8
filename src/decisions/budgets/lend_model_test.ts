import test from "ava";
import { searchLending } from "./testing/lend_model.ts";

// A borrower asks, repeats its request and returns loans while messages are
// lost, duplicated or reordered. If any order let both sides spend the same
// share, an account would exceed its rate for the duration of a lease. Every
// order of up to five steps is tried.
test("no order of five steps lets two instances spend the same share", (t) => {
  const { states } = searchLending({ depth: 5, messages: 3 });
  t.true(states > 500, `only ${states} states were reached`);
});
