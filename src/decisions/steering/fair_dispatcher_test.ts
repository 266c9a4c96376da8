import test from "ava";
import {
  type AccountId,
  type EndpointId,
  ManualClock,
  MemoryMetrics,
  SeededRandom,
  type ServiceId,
  type ZoneId,
} from "../../core/mod.ts";
import { parseDocument, type SteeringDocument } from "../../document/mod.ts";
import type { Slot, SteeringRequest } from "./dispatcher.ts";
import { FairDispatcher } from "./fair_dispatcher.ts";
import type { SlotLimits } from "./slot_limits.ts";
import { ABANDONED_SLOT_HOLD_MS } from "./slot_table.ts";

interface Shape {
  readonly slots: readonly number[];
  readonly queueLimit?: number;
  readonly drains?: readonly { kind: string; id: string }[];
}

function documentOf({ slots, queueLimit = 64, drains = [] }: Shape) {
  const endpoints = slots.map((n, i) => [`e${i}`, {
    zone: "z1",
    url: `http://127.0.0.1:${9000 + i}`,
    slots: n,
    connections: 100,
  }]);
  return parseDocument({
    accounts: { accounts: { small: {}, big: {}, heavy: { weight: 3 } } },
    regions: { regions: { r1: { zones: { z1: { instances: 1 } } } } },
    services: {
      services: {
        s: {
          queue_limit: queueLimit,
          endpoints: Object.fromEntries(endpoints),
        },
      },
    },
    drains: { drains },
  })._unsafeUnwrap();
}

class FixedLimits implements SlotLimits {
  readonly slots = new Map<string, number>();

  adopt(document: SteeringDocument): void {
    for (
      const [id, e] of Object.entries(
        document.services["s" as ServiceId]!.endpoints,
      )
    ) {
      this.slots.set(id, e.slots);
    }
  }

  limit(endpoint: EndpointId): number {
    return this.slots.get(endpoint) ?? 0;
  }

  report(): void {}
}

function setup(shape: Shape) {
  const clock = new ManualClock();
  const metrics = new MemoryMetrics();
  const limits = new FixedLimits();
  const dispatcher = new FairDispatcher({
    clock,
    metrics,
    limits,
    random: new SeededRandom(7),
    zone: "z1" as ZoneId,
  });
  dispatcher.adopt(documentOf(shape), clock.now());
  const acquire = (
    account = "small",
    req: Partial<SteeringRequest> = {},
    signal?: AbortSignal,
  ) =>
    dispatcher.acquire({
      service: "s" as ServiceId,
      account: account as AccountId,
      idempotent: true,
      deadline: clock.now() + 1_000,
      ...req,
    }, signal);
  const take = async (account?: string, req?: Partial<SteeringRequest>) =>
    (await acquire(account, req))._unsafeUnwrap();
  /** Records 30 requests of the given duration for the account. */
  const recordDurations = async (ms: number, account = "small", work = "") => {
    for (let i = 0; i < 30; i++) {
      const slot = await take(account, { work });
      clock.advance(ms);
      slot.release("ok", clock.now());
    }
  };
  return { clock, metrics, limits, dispatcher, acquire, take, recordDurations };
}

test("in-flight requests stay within the limit, and a freed slot serves a queued request", async (t) => {
  const { clock, acquire, take } = setup({ slots: [1, 1] });
  const held = [await take(), await take()];
  t.not(held[0]?.endpoint, held[1]?.endpoint);
  const waiting = acquire();
  held[0]?.release("ok", clock.now());
  t.is((await waiting)._unsafeUnwrap().endpoint, held[0]!.endpoint);
});

test("a raised limit serves queued requests at the next tick", async (t) => {
  const { limits, dispatcher, clock, acquire, take } = setup({ slots: [2] });
  limits.slots.set("e0", 1);
  await take();
  const waiting = acquire();
  limits.slots.set("e0", 2);
  dispatcher.tick(clock.now());
  t.true((await waiting).isOk());
});

test("a limit lowered since the last tick applies at once", async (t) => {
  // An instance resumes after a pause in which its share of the slots expired.
  // With the limit of its last tick it would overload the endpoint, which then
  // sheds requests at half load.
  const { limits, acquire, clock } = setup({ slots: [2] });
  limits.slots.set("e0", 0);
  const refused = acquire("small", { deadline: clock.now() + 50 });
  clock.advance(50);
  const failure = (await refused)._unsafeUnwrapErr();
  t.is(failure.outcome, "not-run");
});

test("a request that cannot be served before its deadline is refused at once", async (t) => {
  const { acquire, take, recordDurations, clock } = setup({ slots: [1] });
  await recordDurations(100);
  await take();
  const early = clock.now();
  const failure = (await acquire("small", { deadline: early + 120 }))
    ._unsafeUnwrapErr();
  t.is(clock.now(), early);
  t.is(failure.code, "no_capacity");
  t.is(failure.outcome, "not-run");
  t.true((failure.retryAfterMs ?? 0) > 0);
});

test("an expired deadline or an abort removes a queued request at once", async (t) => {
  const { acquire, take, clock } = setup({ slots: [1] });
  const slot = await take();
  const controller = new AbortController();
  const waiting = acquire("small", { deadline: clock.now() + 100 });
  const cancelled = acquire("small", {}, controller.signal);
  controller.abort();
  t.is((await cancelled)._unsafeUnwrapErr().code, "cancelled");
  clock.advance(100);
  t.is((await waiting)._unsafeUnwrapErr().code, "deadline_exceeded");
  slot.release("ok", clock.now());
  t.true((await acquire()).isOk());
});

test("an account that fills the queue does not delay another account", async (t) => {
  // One account sends far more than the slots can serve. In a FIFO queue the
  // other account's requests would wait behind all of them and time out.
  const { acquire, take, clock } = setup({ slots: [1], queueLimit: 8 });
  const first = await take("big");
  const order: string[] = [];
  const enqueue = (account: string) =>
    void acquire(account).then((r) => {
      if (r.isErr()) return;
      order.push(account);
      r.value.release("ok", clock.now());
    });
  for (let i = 0; i < 12; i++) enqueue("big");
  enqueue("small");
  enqueue("small");
  first.release("ok", clock.now());
  await flush();
  t.is(order.length, 8);
  t.deepEqual(order.slice(0, 4).filter((a) => a === "small").length, 2);
});

test("accounts are served in proportion to their weights", async (t) => {
  const { acquire, take, clock } = setup({ slots: [1] });
  const first = await take("small");
  const order: string[] = [];
  for (const account of ["big", "heavy"]) {
    for (let i = 0; i < 12; i++) {
      void acquire(account).then((r) => {
        if (r.isErr()) return;
        order.push(account);
        r.value.release("ok", clock.now());
      });
    }
  }
  first.release("ok", clock.now());
  await flush();
  const heavy = order.slice(0, 12).filter((a) => a === "heavy").length;
  t.true(heavy >= 8 && heavy <= 10, `heavy was served ${heavy} of 12 times`);
});

test("long requests leave slots for short ones", async (t) => {
  // Many requests for a report that takes seconds. Without a limit they hold
  // every slot, and quick reads wait for seconds.
  const { take, recordDurations, acquire } = setup({ slots: [4] });
  await recordDurations(10, "small", "read");
  await recordDurations(500, "big", "report");
  await recordDurations(10, "small", "read");
  const slots: Slot[] = [];
  for (let i = 0; i < 8; i++) {
    void acquire("big", { work: "report", deadline: 1e9 }).then((r) => {
      if (r.isOk()) slots.push(r.value);
    });
  }
  await flush();
  t.is(slots.length, 2);
  await take("small", { work: "read" });
});

const RELEASES = [
  { result: "cancelled", heldMs: 1_000 },
  { result: "failed", heldMs: 1_000 },
  { result: "timeout", heldMs: 1_000 },
  { result: "shed", heldMs: 0 },
  { result: "ok", heldMs: 0 },
] as const;

for (const { result, heldMs } of RELEASES) {
  test(`a slot released as ${result} is held ${heldMs} ms longer`, async (t) => {
    // The endpoint may still be running an abandoned request. Reusing the slot
    // at once would run one request too many there.
    const { clock, dispatcher, take } = setup({ slots: [1] });
    const slot = await take("small", { deadline: 10_000 });
    slot.release(result, clock.now());
    const inUse = () => dispatcher.load(clock.now())[0]?.inFlight;
    if (heldMs > 0) {
      clock.advance(heldMs - 1);
      t.is(inUse(), 1);
      clock.advance(1);
    }
    t.is(inUse(), 0);
  });
}

test("no more than half of the endpoints are ejected", async (t) => {
  // The instance's own network fails, so that every endpoint seems to fail.
  // Ejecting all would refuse requests that some could still serve.
  const { clock, dispatcher, take } = setup({ slots: [4, 4, 4, 4] });
  let maxEjected = 0;
  for (let i = 0; i < 200; i++) {
    (await take()).release("failed", clock.now());
    clock.advance(ABANDONED_SLOT_HOLD_MS);
    const ejected = dispatcher.rows().filter((r) =>
      r.ejected && r.blockedUntil > clock.now()
    );
    maxEjected = Math.max(maxEjected, ejected.length);
  }
  t.is(maxEjected, 2);
});

test("a slow endpoint gets few requests beside fast ones", async (t) => {
  const { clock, take, acquire } = setup({ slots: [4, 4, 4] });
  const counts = new Map<string, number>();
  const running: { slot: Slot; ends: number }[] = [];
  await take().then((s) => s.release("ok", clock.now()));
  for (let i = 0; i < 2_000; i++) {
    clock.advance(2);
    for (const { slot, ends } of running.splice(0)) {
      if (ends <= clock.now()) slot.release("ok", clock.now());
      else running.push({ slot, ends });
    }
    void acquire().then((r) => {
      if (r.isErr()) return;
      const { endpoint } = r.value;
      counts.set(endpoint, (counts.get(endpoint) ?? 0) + 1);
      const ms = endpoint === "e0" ? 200 : 10;
      running.push({ slot: r.value, ends: clock.now() + ms });
    });
    await Promise.resolve();
  }
  t.true((counts.get("e0") ?? 0) < 60, `slow one got ${counts.get("e0")}`);
});

test("a draining endpoint gets no new requests and its drain is timed", async (t) => {
  const shape = { slots: [1, 1] };
  const { clock, dispatcher, metrics, take, acquire } = setup(shape);
  const held = [await take(), await take()];
  const e0 = held.find((s) => s.endpoint === "e0");
  const drains = [{ kind: "endpoint", id: "e0" }];
  dispatcher.adopt(documentOf({ ...shape, drains }), clock.now());
  const waiting = acquire();
  clock.advance(40);
  e0?.release("ok", clock.now());
  t.is(metrics.counts.get("endpoint.drain.samples"), 1);
  held.find((s) => s.endpoint === "e1")?.release("ok", clock.now());
  t.is((await waiting)._unsafeUnwrap().endpoint, "e1" as EndpointId);
});

test("a new endpoint gets slow start", async (t) => {
  const { clock, dispatcher, acquire } = setup({ slots: [8] });
  dispatcher.adopt(documentOf({ slots: [8, 8] }), clock.now());
  const slots: string[] = [];
  for (let i = 0; i < 16; i++) {
    void acquire().then((r) => r.isOk() && slots.push(r.value.endpoint));
  }
  await flush();
  t.is(slots.filter((e) => e === "e1").length, 2);
  t.is(slots.filter((e) => e === "e0").length, 8);
});

async function flush(): Promise<void> {
  for (let i = 0; i < 200; i++) await Promise.resolve();
}

const STATED = { retryAfterMs: undefined, leaving: false };

// Guards against requests to an endpoint that refused one with a Retry-After.
test("an endpoint that states a Retry-After gets no slot until then", async (t) => {
  const { take, clock } = setup({ slots: [4, 4] });
  const first = await take();
  first.stated({ ...STATED, retryAfterMs: 3_000 }, clock.now());
  first.release("shed", clock.now());
  clock.advance(2_999);
  for (let i = 0; i < 4; i++) t.not((await take()).endpoint, first.endpoint);
  clock.advance(1);
  t.is((await take()).endpoint, first.endpoint);
});

// Guards against requests that wait for an endpoint that takes none in time.
test("while all endpoints want no requests, the refusal says for how long", async (t) => {
  const { take, acquire, clock } = setup({ slots: [4] });
  const slot = await take();
  slot.stated({ ...STATED, retryAfterMs: 3_000 }, clock.now());
  slot.release("shed", clock.now());
  const refused = (await acquire())._unsafeUnwrapErr();
  t.is(refused.outcome, "not-run");
  t.true((refused.retryAfterMs ?? 0) >= 2_000, `${refused.retryAfterMs}`);
});

// Guards against an endpoint that is lost for good by one response.
test("a Retry-After of years ends after a minute", async (t) => {
  const { take, clock } = setup({ slots: [4] });
  const slot = await take();
  slot.stated({ ...STATED, retryAfterMs: 1e12 }, clock.now());
  slot.release("shed", clock.now());
  clock.advance(60_000);
  t.is((await take()).endpoint, slot.endpoint);
});

// Guards against new work for an endpoint that says it leaves.
test("an endpoint that states its leaving gets no new slot", async (t) => {
  const { take, clock } = setup({ slots: [4, 4] });
  const first = await take();
  first.stated({ ...STATED, leaving: true }, clock.now());
  first.release("ok", clock.now());
  for (let i = 0; i < 4; i++) t.not((await take()).endpoint, first.endpoint);
});
