import test from "ava";
import fc from "fast-check";
import { bufferBytes } from "./budget_size.ts";
import { ByteBudget, type Reservation } from "./byte_budget.ts";
import { ResponseSizes } from "./response_sizes.ts";

// Guards against urgent requests that find the budget taken by others.
test("less urgent ranks are refused first", (t) => {
  const budget = new ByteBudget(1_000);
  t.true(budget.reserve(780, 0, 0).isOk());
  t.true(budget.reserve(30, 2, 0).isErr());
  t.true(budget.reserve(30, 1, 0).isOk());
  t.true(budget.reserve(100, 1, 0).isErr());
  t.true(budget.reserve(190, 0, 0).isOk());
  t.true(budget.reserve(1, 0, 0).isErr());
});

// Guards against a large body of an unimportant route that never fits.
test("a body may exceed its rank's share while little is buffered", (t) => {
  const budget = new ByteBudget(1_000);
  t.true(budget.reserve(100, 0, 0).isOk());
  t.true(budget.reserve(900, 9, 0).isOk());
  t.true(new ByteBudget(1_000).reserve(1_001, 0, 0).isErr());
});

// Guards against responses to slow readers that grow without bound, since their
// requests need no memory when they arrive.
test("requests without a body are refused while responses exceed it", (t) => {
  const budget = new ByteBudget(1_000);
  const response = budget.open();
  response.add(1_000);
  t.true(budget.reserve(0, 9, 0).isOk());
  response.add(1);
  t.true(budget.reserve(0, 0, 0).isErr());
  response.release(0);
  t.true(budget.reserve(1_000, 0, 0).isOk());
});

// Guards against callers that return before memory is free, or long after.
test("Retry-After is the time in which the missing bytes are released", (t) => {
  const budget = new ByteBudget(1_000);
  let now = 0;
  for (; now < 20_000; now += 100) {
    budget.reserve(100, 0, now)._unsafeUnwrap().release(now);
  }
  t.true(budget.reserve(1_000, 0, now).isOk());
  const refused = budget.reserve(500, 0, now)._unsafeUnwrapErr();
  t.is(refused.code, "not_ready");
  t.is(refused.outcome, "not-run");
  const waitMs = refused.retryAfterMs ?? 0;
  t.true(waitMs > 400 && waitMs < 600, `${waitMs} ms`);
});

test("Retry-After has bounds where nothing was released", (t) => {
  const budget = new ByteBudget(10);
  t.is(budget.reserve(11, 0, 0)._unsafeUnwrapErr().retryAfterMs, 5_000);
});

// Guards against bytes that stay counted for good, or are released twice.
test("the bytes in use are those of the open reservations", (t) => {
  const step = fc.record({
    kind: fc.constantFrom("reserve", "add", "subtract", "release"),
    bytes: fc.nat(500),
    rank: fc.nat(4),
    index: fc.nat(20),
  });
  fc.assert(
    fc.property(fc.array(step, { maxLength: 100 }), (steps) => {
      const budget = new ByteBudget(1_000);
      const open: Reservation[] = [];
      for (const { kind, bytes, rank, index } of steps) {
        const one = open[index % Math.max(1, open.length)];
        const before = budget.usedBytes;
        switch (kind) {
          case "reserve": {
            const reserved = budget.reserve(bytes, rank, 0);
            if (reserved.isErr()) break;
            open.push(reserved.value);
            if (budget.usedBytes > 1_000) return false;
            break;
          }
          case "add":
            one?.add(bytes);
            break;
          case "subtract":
            one?.subtract(bytes, 0);
            break;
          case "release":
            one?.release(0);
            one?.release(0);
            break;
        }
        const sum = open.reduce((total, r) => total + r.bytes, 0);
        if (budget.usedBytes !== sum) return false;
        if (before < 0) return false;
      }
      return true;
    }),
    { seed: 6 },
  );
  t.pass();
});

test("the size follows the memory limit, or V8's heap limit without one", (t) => {
  t.is(bufferBytes(250_000_000, 1), 42_000_000);
  t.is(bufferBytes(100_000_000, 1), 5_000_000);
  t.is(bufferBytes(undefined, 200_000_000), 100_000_000);
});

// Guards against a mean that a single large response moves, and against one
// that does not follow.
test("the expected size of responses follows their mean", (t) => {
  const sizes = new ResponseSizes();
  for (let i = 0; i < 200; i++) sizes.record("r1", 5_000);
  t.is(sizes.expected("r1"), 5_001);
  sizes.record("r1", 30_000);
  t.true(sizes.expected("r1") < 7_000);
  for (let i = 0; i < 5_000; i++) sizes.record(`other-${i}`, 1);
  t.is(sizes.expected("r1"), sizes.expected("new"));
});
