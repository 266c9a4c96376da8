import test from "ava";
import type { AccountId } from "../core/mod.ts";
import type { LeasedSeats } from "../membership/mod.ts";
import { BudgetFleet, type FleetSpec } from "./testing/budget_fleet.ts";

const ACCOUNT = "a" as AccountId;

function fleetSpec(over: Partial<FleetSpec> = {}): FleetSpec {
  return {
    zones: { x: 2, y: 2 },
    rates: { a: { rate_per_s: 100, burst: 50 } },
    slots: 6,
    deadlineMs: 800,
    ...over,
  };
}

async function startFleet(over: Partial<FleetSpec> = {}, seed = 1) {
  const fleet = new BudgetFleet(seed, fleetSpec(over));
  await fleet.advance(1_500);
  const [first, second] = fleet.live();
  return { fleet, first: first!, second: second! };
}

type Fleet = Awaited<ReturnType<typeof startFleet>>;

/** Sends requests to one instance at a constant rate and counts the results. */
async function sendEvenly(
  { fleet, first }: Fleet,
  { perS, seconds }: { perS: number; seconds: number },
) {
  const tally = { ok: 0, refused: 0, withoutRetry: 0, slowestMs: 0 };
  for (let i = 0; i < perS * seconds; i++) {
    const at = fleet.time.now;
    void fleet.request(first, "a", 800)?.then((result) => {
      if (result.isOk()) {
        tally.ok += 1;
        return;
      }
      tally.refused += 1;
      tally.slowestMs = Math.max(tally.slowestMs, fleet.time.now - at);
      if (!((result.error.retryAfterMs ?? 0) > 0)) tally.withoutRetry += 1;
    });
    await fleet.advance(1_000 / perS);
  }
  await fleet.advance(800);
  return tally;
}

// All callers of an account use one of four instances. With fixed shares, three
// quarters of its requests would be refused although it stays within its rate.
test("callers that all use one instance get the whole rate", async (t) => {
  const tally = await sendEvenly(await startFleet(), { perS: 90, seconds: 4 });
  t.is(tally.refused, 0);
  t.is(tally.ok, 360);
});

// The burst is smaller than the number of instances. No instance has a whole
// token of its own, and without borrowing every request would be refused.
test("a burst smaller than the fleet still serves requests", async (t) => {
  const rates = { a: { rate_per_s: 4, burst: 2 } };
  const tally = await sendEvenly(await startFleet({ rates }), {
    perS: 3,
    seconds: 6,
  });
  t.is(tally.refused, 0);
});

// An account sends four times its rate. It must not exceed its rate, and the
// excess must be refused at once with a retry time, not after a long wait.
test("an account over its rate is refused at once", async (t) => {
  const fleet = await startFleet();
  await sendEvenly(fleet, { perS: 400, seconds: 2 });
  const tally = await sendEvenly(fleet, { perS: 400, seconds: 2 });
  t.true(tally.refused > 500, `only ${tally.refused} were refused`);
  t.is(tally.withoutRetry, 0);
  t.true(tally.slowestMs < 200, `a refusal took ${tally.slowestMs} ms`);
  t.is(fleet.fleet.countOverRate("a"), 0);
});

// An instance is paused for longer than its leases while others take over its
// shares. If it resumed with the old shares, the account would briefly get its
// rate twice.
test("a pause longer than the lease leaves no tokens to spend", async (t) => {
  const { fleet, first } = await startFleet();
  await sendEvenly({ fleet, first, second: first }, { perS: 90, seconds: 2 });
  const before = first.budgets.spendable(ACCOUNT, first.clock.now());
  t.true(before.fraction > 0.25, `had ${before.fraction}`);
  fleet.pause(first, 4_000);
  await fleet.advance(3_999);
  const after = first.budgets.spendable(ACCOUNT, first.clock.now());
  t.deepEqual(after, { fraction: 0, room: 0, tokens: 0 });
});

// An idle account must have its whole burst available, even if no instance used
// its row while the seat was renewed many times.
test("an account that was idle has its whole burst", async (t) => {
  const { fleet } = await startFleet();
  await fleet.advance(8_000);
  const tokens = fleet.live().map(({ budgets, clock }) =>
    budgets.spendable(ACCOUNT, clock.now()).tokens
  );
  t.is(Math.round(tokens.reduce((n, x) => n + x, 0)), 50);
});

// An instance with borrowed slots can no longer reach the lender. It starts
// requests until its lease ends, and they run until their deadline. If the slots
// were reused when the lease ends, the endpoint would run more requests than it
// has slots. Both instances always have work; the sums are checked at every event.
test("borrowed slots stay reserved while requests use them", async (t) => {
  let borrowed = 0;
  for (let cutMs = 0; cutMs < 400; cutMs += 50) {
    const { fleet, first, second } = await startFleet({ zones: { x: 2 } });
    const endpoint = "endpoint-x" as never;
    for (let ms = 0; ms < 1_000 + cutMs; ms += 10) {
      fleet.work(first, 790);
      await fleet.advance(10);
    }
    const limit = first.budgets.slotLimits.limit(endpoint, first.clock.now());
    borrowed = Math.max(borrowed, limit - 3);
    fleet.faults.drop = 1;
    for (let ms = 0; ms < 3_000; ms += 10) {
      fleet.work(first, 790);
      fleet.work(second, 790);
      await fleet.advance(10);
    }
  }
  t.true(borrowed > 0, "nothing was borrowed");
});

// The document adds seats, and instances adopt it at different times. If a new
// instance used its share at once, the shares would exceed the total; the sums
// are checked at every event.
test("a new seat counts only when all instances have adopted the document", async (t) => {
  const { fleet } = await startFleet();
  fleet.change(fleetSpec({ zones: { x: 3, y: 2 } }), 3_000);
  const added = fleet.start("x-3", "x");
  const parts: number[] = [];
  for (let i = 0; i < 60; i++) {
    await fleet.advance(100);
    parts.push(added.budgets.spendable(ACCOUNT, added.clock.now()).fraction);
  }
  t.is(parts[0], 0);
  t.true(Math.abs(parts[59]! - 1 / 5) < 1e-9, `ended with ${parts[59]}`);
});

// An instance shuts down gracefully while others use shares it lent them. Its
// seat moves to an instance of the same zone, which uses the whole share at once.
// Without waiting for the loans, the account would exceed its rate until they
// end; the sums are checked at every event.
test("a leaving instance's seat moves only after its loans have ended", async (t) => {
  const fleet = new BudgetFleet(1, fleetSpec({ deadlineMs: 1_000 }), {
    useLeasedSeats: true,
  });
  await fleet.advance(3_000);
  const [leaver, , busy] = fleet.live();
  const fractions: number[] = [];
  for (let i = 0; i < 200; i++) {
    void fleet.request(busy!, "a", 800);
    await fleet.advance(10);
    fractions.push(
      busy!.budgets.spendable(ACCOUNT, busy!.clock.now()).fraction,
    );
  }
  t.true(Math.max(...fractions) > 3 / 4, "too little was lent");
  const seats = leaver!.seats as LeasedSeats;
  seats.leave();
  leaver!.sender.leaving = true;
  let handedOver = false;
  void leaver!.budgets.handOver().then(() => seats.handOver())
    .then(() => {
      handedOver = true;
      // It notifies its peers before it stops.
      fleet.time.after(200, () => fleet.kill(leaver!.instance));
    });
  for (let i = 0; i < 300; i++) {
    void fleet.request(busy!, "a", 800);
    await fleet.advance(10);
  }
  t.true(handedOver);
  const [heir] = fleet.live();
  t.is(heir!.seats.held(heir!.clock.now()).length, 2);
});
