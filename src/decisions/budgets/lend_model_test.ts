import test from "ava";
import { searchLending } from "./testing/lend_model.ts";

// A borrower asks, asks again, gives back, and time passes, while questions
// and answers are lost, come twice or overtake each other. If any order of
// these let both sides spend the same part, an account would get more than its
// rate for as long as a lease lasts. Every order of up to five steps is tried.
test("no order of five steps lets two instances spend the same part", (t) => {
  const { states } = searchLending({ depth: 5, messages: 3 });
  t.true(states > 500, `only ${states} states were reached`);
});
