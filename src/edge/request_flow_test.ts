import test from "ava";
import {
  type AccountId,
  type EndpointId,
  type InstanceId,
  ManualClock,
  MemoryMetrics,
  type RegionId,
  type ServiceId,
  SilentLog,
  type ZoneId,
} from "../core/mod.ts";
import { AffinityPlacement } from "../decisions/placement/mod.ts";
import { AccountQuotas } from "../decisions/quotas/mod.ts";
import { SharedRetryBudget } from "../decisions/retries/mod.ts";
import { StartGate } from "../decisions/starting/mod.ts";
import type { EndpointRecord, TrafficPlan } from "../traffic/mod.ts";
import { Admission } from "./admission.ts";
import { EndpointLimits } from "./endpoint_limits.ts";
import { EndpointChooser } from "./endpoint_chooser.ts";
import { AccessLog } from "./access_log.ts";
import type { SendResult } from "./endpoint_sender.ts";
import type { AnswerLimit, CallerFields } from "./request_codec.ts";
import { type FlowAnswer, RequestFlow } from "./request_flow.ts";
import { PlainCodec } from "./testing/plain_codec.ts";
import { answered, ScriptedSender, shed } from "./testing/scripted_sender.ts";
import { account, endpoint, plan, route } from "./testing/traffic_fixtures.ts";
import { TrafficState } from "./traffic_state.ts";

const R1 = "r1" as RegionId;
const R2 = "r2" as RegionId;
const REGIONS = new Map([["z1", R1], ["z2", R2]]) as Map<ZoneId, RegionId>;

interface Setup {
  readonly plan?: Partial<TrafficPlan> | "none";
  readonly endpoints?: readonly Partial<EndpointRecord>[];
  readonly sender?: ScriptedSender;
}

/** One instance's request path, without listeners. */
class Path {
  readonly clock = new ManualClock();
  readonly state: TrafficState;
  readonly sender: ScriptedSender;
  readonly gone = new AbortController();
  readonly gate: StartGate;
  readonly #flow: RequestFlow;
  readonly #quotas: AccountQuotas;
  readonly #limits: EndpointLimits;

  constructor(setup: Setup = {}) {
    const { clock } = this;
    this.sender = setup.sender ?? new ScriptedSender();
    this.state = new TrafficState((zone) => REGIONS.get(zone), {
      added: () => {},
      removed: () => {},
    });
    if (setup.plan !== "none") this.state.adopt(plan(setup.plan));
    const two = [{ id: "e1" as EndpointId }, { id: "e2" as EndpointId }];
    for (const record of setup.endpoints ?? two) {
      this.state.endpoints.put(endpoint(record), 0);
    }
    const fleetSize = () => 1;
    const quotas = new AccountQuotas("i1" as InstanceId, { fleetSize });
    quotas.adopt(this.state.table?.plan.accounts ?? [], 0);
    const limits = new EndpointLimits({
      own: "i1" as InstanceId,
      demand: quotas.demand,
      gossipDelayMs: () => 0,
      clock,
      log: new SilentLog(),
      metrics: new MemoryMetrics(),
    });
    this.#quotas = quotas;
    this.#limits = limits;
    this.gate = new StartGate(clock);
    if (setup.plan !== "none") this.gate.open();
    this.#flow = new RequestFlow({
      gate: this.gate,
      admission: new Admission(this.state, quotas, clock),
      chooser: new EndpointChooser({
        state: this.state,
        placement: new AffinityPlacement(),
        limits,
        fleetSize,
        own: "i1" as InstanceId,
        region: R1,
        regions: [R1, R2],
      }),
      sender: this.sender,
      codec: new PlainCodec(),
      retries: new SharedRetryBudget({
        ratio: 1,
        slack: 10,
        windowMs: 10_000,
      }),
      fleetSize,
      accessLog: new AccessLog({
        clock,
        log: new SilentLog(),
        metrics: new MemoryMetrics(),
        planVersion: () => this.state.planVersion,
        limitOf: (id) => limits.limitOf(id),
      }),
      clock,
    });
  }

  /** A period of gossip passes. */
  tick(): void {
    this.#quotas.tick(this.clock.now());
  }

  /** Endpoints that have a limit. */
  limited(): string[] {
    return [...this.state.endpoints.rows()].map(({ id }) => id)
      .filter((id) => this.#limits.limitOf(id) !== undefined);
  }

  ask(fields: Partial<CallerFields> = {}): Promise<FlowAnswer> {
    return this.#flow.handle({
      method: "GET",
      headers: [],
      fields: {
        requestId: "q1",
        host: "h",
        path: "/p/1",
        key: "k",
        affinityKey: "o1",
        clientTimeoutMs: 1_000,
        ...fields,
      },
      body: undefined,
      arrivedAt: this.clock.now(),
      signal: this.gone.signal,
    });
  }
}

/** The answer as one text. */
function outcomeOf(answer: FlowAnswer): string {
  if (answer.kind === "answer") return `answer ${answer.status}`;
  if (answer.kind === "gone") return "gone";
  const { code, outcome } = answer.failure;
  return outcome === undefined ? code : `${code} ${outcome}`;
}

const ONCE = { plan: { routes: [route({ idempotent: false })] } };

const CASES: readonly {
  readonly name: string;
  readonly setup: () => Setup;
  readonly want: string;
  readonly sends: number;
}[] = [
  {
    name: "an endpoint sheds a request that may run once; another takes it",
    setup: () => ({ ...ONCE, sender: new ScriptedSender(shed(), answered()) }),
    want: "answer 200",
    sends: 2,
  },
  {
    name: "an endpoint cannot be reached; another takes the request",
    setup: () => ({
      ...ONCE,
      sender: new ScriptedSender({ kind: "unsent", reason: "refused" }),
    }),
    want: "answer 200",
    sends: 2,
  },
  {
    name: "a connection breaks under a request that may run once",
    setup: () => ({
      ...ONCE,
      sender: new ScriptedSender({ kind: "unknown", reason: "broken" }),
    }),
    want: "endpoint_failed unknown",
    sends: 1,
  },
  {
    name: "a connection breaks under a request that may be repeated",
    setup: () => ({
      sender: new ScriptedSender({ kind: "unknown", reason: "broken" }),
    }),
    want: "answer 200",
    sends: 2,
  },
  {
    name: "an endpoint fails a request that may be repeated",
    setup: () => ({ sender: new ScriptedSender(answered(500)) }),
    want: "answer 200",
    sends: 2,
  },
  {
    name: "an endpoint fails a request that may run once",
    setup: () => ({ ...ONCE, sender: new ScriptedSender(answered(500)) }),
    want: "answer 500",
    sends: 1,
  },
  {
    name: "all endpoints fail a request; the last answer is passed on",
    setup: () => ({
      sender: new ScriptedSender(answered(500), answered(500)),
    }),
    want: "answer 500",
    sends: 2,
  },
  {
    name: "a request ran badly, then was shed: nobody says it did not run",
    setup: () => ({ sender: new ScriptedSender(answered(500), shed()) }),
    want: "endpoint_failed unknown",
    sends: 2,
  },
  {
    name: "all endpoints shed a request",
    setup: () => ({ sender: new ScriptedSender(shed(), shed()) }),
    want: "no_capacity not-run",
    sends: 2,
  },
  {
    name: "a success that is not signed",
    setup: () => ({
      ...ONCE,
      sender: new ScriptedSender(answered(200, { signed: false })),
    }),
    want: "endpoint_failed unknown",
    sends: 1,
  },
  {
    name: "a status that promises what the endpoint did not say",
    setup: () => ({ ...ONCE, sender: new ScriptedSender(answered(503)) }),
    want: "endpoint_failed unknown",
    sends: 1,
  },
  {
    name: "a route that allows one endpoint",
    setup: () => ({
      plan: { routes: [route({ maxAttempts: 1 })] },
      sender: new ScriptedSender(shed()),
    }),
    want: "no_capacity not-run",
    sends: 1,
  },
  {
    name: "a service without endpoints",
    setup: () => ({ endpoints: [] }),
    want: "no_endpoint not-run",
    sends: 0,
  },
  {
    name: "endpoints that drain get nothing new",
    setup: () => ({ endpoints: [{ draining: true }] }),
    want: "no_endpoint not-run",
    sends: 0,
  },
  {
    name: "regions in which neither route nor account may be served",
    setup: () => ({
      plan: {
        routes: [route({ allowedRegions: [R1] })],
        accounts: [account({ allowedRegions: [R2] })],
      },
    }),
    want: "no_endpoint not-run",
    sends: 0,
  },
];

for (const { name, setup, want, sends } of CASES) {
  test(`${name}: ${want}`, async (t) => {
    // Endpoints fail in every way while callers wait. Each caller is to be
    // served if that can be done without running its request twice, and else
    // told no more than is known.
    const path = new Path(setup());
    t.is(outcomeOf(await path.ask()), want);
    t.is(path.sender.sent.length, sends);
    const names = path.sender.sent.map((s) => s.endpoint);
    t.is(new Set(names).size, names.length);
  });
}

test("a key that is not known is refused, and one that was withdrawn too", async (t) => {
  // An operator takes a key away while its caller is connected. The caller's
  // next request must not run.
  const path = new Path();
  t.is(outcomeOf(await path.ask({ key: "other" })), "unauthenticated");
  t.is(outcomeOf(await path.ask()), "answer 200");
  path.state.adopt(plan({ version: 2, accounts: [account({ keys: [] })] }));
  t.is(outcomeOf(await path.ask()), "unauthenticated");
});

test("an older plan does not take the place of a newer one", async (t) => {
  // A store that is read late hands out a plan that callers have seen replaced.
  const path = new Path({ plan: { version: 5 } });
  t.false(path.state.adopt(plan({ version: 4, routes: [] })));
  t.is(outcomeOf(await path.ask()), "answer 200");
});

test("an instance without a plan says that it is not ready", async (t) => {
  // It has just started and the store does not answer. Told that there is no
  // such route, its callers would not come back.
  const path = new Path({ plan: "none" });
  const answer = path.ask();
  path.clock.advance(250);
  t.is(outcomeOf(await answer), "not_ready not-run");
});

test("a request that comes before the plan is served when it is there", async (t) => {
  // All instances were killed and callers are back a moment before the plan.
  // Sent away, they would come back half a second later with a retry spent.
  const path = new Path({ plan: "none" });
  const answer = path.ask();
  path.clock.advance(200);
  path.state.adopt(plan());
  path.gate.open();
  t.is(outcomeOf(await answer), "answer 200");
});

test("an endpoint is told the time that is left, by caller and route", async (t) => {
  // An endpoint that is told more works on for a caller that has left.
  const path = new Path({ plan: { routes: [route({ timeoutMs: 400 })] } });
  await path.ask({ clientTimeoutMs: 1_000 });
  const headers = path.sender.sent[0]?.req.headers ?? [];
  const left = Number(headers[headers.indexOf("left") + 1]);
  t.true(left <= 400 && left > 300, String(left));
});

test("at the deadline the caller is answered, and the endpoint let go", async (t) => {
  // An endpoint stays silent. The caller is told that the outcome is unknown,
  // before it stops listening.
  const path = new Path({ sender: new ScriptedSender("silence") });
  const answer = path.ask({ clientTimeoutMs: 1_000 });
  path.clock.advance(1_000);
  t.is(outcomeOf(await answer), "deadline_exceeded unknown");
  t.true(path.sender.sent[0]?.cancelled);
});

test("when the caller leaves, the endpoint is let go at once", async (t) => {
  const path = new Path({ sender: new ScriptedSender("silence") });
  const answer = path.ask();
  path.gone.abort();
  t.is(outcomeOf(await answer), "gone");
  t.true(path.sender.sent[0]?.cancelled);
});

test("an address that another endpoint has is not asked again", async (t) => {
  // An endpoint has ended and its address went to another service before the
  // registry says so.
  const sender = new ScriptedSender(shed({ moved: true }), answered());
  const path = new Path({ sender });
  t.is(outcomeOf(await path.ask()), "answer 200");
  const first = path.sender.sent[0]?.endpoint as EndpointId;
  t.is(path.state.endpoints.get(first), undefined);
});

test("an account over its rate is told when to come back", async (t) => {
  const limited = account({
    id: "a1" as AccountId,
    ratePerS: 1,
    burst: 1,
  });
  const path = new Path({ plan: { accounts: [limited] } });
  t.is(outcomeOf(await path.ask()), "answer 200");
  const answer = await path.ask();
  t.is(outcomeOf(answer), "rate_exceeded not-run");
  if (answer.kind !== "refusal") return t.fail();
  t.true((answer.failure.retryAfterMs ?? 0) > 500);
});

test("a cold endpoint gets no more than its part of what it bears", async (t) => {
  // An endpoint has just started. Sent its whole part of the traffic, it would
  // crash; the rest goes to the others.
  const path = new Path({
    endpoints: [
      { id: "e1" as EndpointId, coldMs: 3_000 },
      { id: "e2" as EndpointId },
    ],
  });
  for (let i = 0; i < 100; i++) {
    await path.ask({ affinityKey: `o${i}` });
    path.clock.advance(10);
  }
  const cold = path.sender.sent.filter((s) => s.endpoint === "e1").length;
  t.true(cold > 0 && cold <= 12, String(cold));
});

test("an endpoint that fails again and again is set aside", async (t) => {
  // Its objects would meet it each time: their callers would see nothing but
  // failures until the registry takes it out.
  const path = new Path({
    ...ONCE,
    sender: new ScriptedSender(
      ...Array.from({ length: 4 }, () => answered(500)),
    ),
  });
  const answers: string[] = [];
  for (let i = 0; i < 8; i++) {
    answers.push(outcomeOf(await path.ask()));
    path.clock.advance(20);
  }
  t.deepEqual(answers.slice(-4), Array(4).fill("answer 200"));
  t.is(new Set(path.sender.sent.map((s) => s.endpoint)).size, 2);
});

test("an endpoint that sheds keeps its objects", async (t) => {
  // Its slots are full for a moment. Set aside, it would lose all its objects to
  // endpoints that do not know them, and they would be full next.
  const path = new Path({
    sender: new ScriptedSender(
      ...Array.from(
        { length: 10 },
        (_, i) => i % 2 === 0 ? shed() : answered(),
      ),
    ),
  });
  for (let i = 0; i < 5; i++) t.is(outcomeOf(await path.ask()), "answer 200");
  t.is(outcomeOf(await path.ask()), "answer 200");
  const { sent } = path.sender;
  t.is(sent.at(-1)?.endpoint, sent[0]?.endpoint);
});

test("a weighted route keeps to its weights", async (t) => {
  const services = [
    { service: "s" as ServiceId, weight: 90 },
    { service: "s2" as ServiceId, weight: 10 },
  ];
  const path = new Path({
    plan: { routes: [route({ services })] },
    endpoints: [
      { id: "e1" as EndpointId },
      { id: "e2" as EndpointId, service: "s2" as ServiceId },
    ],
  });
  for (let i = 0; i < 50; i++) await path.ask({ affinityKey: `o${i}` });
  const second = path.sender.sent.filter((s) => s.endpoint === "e2").length;
  t.is(second, 5);
});

const LIMITED = { kind: "limited", ratePerS: 2 } as const;

/** Endpoints whose answers name a limit, or none. */
function needy(limits: Readonly<Record<string, AnswerLimit>>): ScriptedSender {
  const none = { kind: "none" } as const;
  return new ScriptedSender().answers((endpoint) =>
    answered(200, { limit: limits[endpoint] ?? none })
  );
}

async function askFor(path: Path, seconds: number): Promise<string[]> {
  const outcomes: string[] = [];
  for (let i = 0; i < seconds * 20; i++) {
    outcomes.push(outcomeOf(await path.ask({ affinityKey: `o${i % 20}` })));
    path.clock.advance(50);
    if (i % 5 === 0) path.tick();
  }
  return outcomes;
}

// Guards against an endpoint in need that gets its whole part of the traffic.
test("what an endpoint's limit leaves out is served elsewhere", async (t) => {
  const path = new Path({ sender: needy({ e1: LIMITED }) });
  const outcomes = await askFor(path, 10);
  t.true(outcomes.every((outcome) => outcome === "answer 200"));
  const limited = path.sender.sent.filter((s) => s.endpoint === "e1").length;
  t.true(limited >= 12 && limited <= 28, `${limited}`);
});

// Guards against requests that wait, or are sent, though no limit has room.
test("where all endpoints name a limit the rest is refused at once", async (t) => {
  const path = new Path({ sender: needy({ e1: LIMITED, e2: LIMITED }) });
  const outcomes = await askFor(path, 10);
  const refused = outcomes.filter((o) => o === "no_capacity not-run").length;
  t.true(refused > 120, `${refused}`);
  t.is(path.sender.sent.length, outcomes.length - refused);
  const answer = await path.ask();
  if (answer.kind !== "refusal") return t.pass();
  t.regex(answer.failure.message, /takes 2 requests a second/);
  t.true((answer.failure.retryAfterMs ?? 0) >= 20);
});

// Guards against a limit that stays when the endpoint ceases to name it.
test("a limit is lifted by an answer that names none", async (t) => {
  const limits: Record<string, AnswerLimit> = { e1: LIMITED };
  const path = new Path({ sender: needy(limits) });
  await askFor(path, 5);
  delete limits["e1"];
  await askFor(path, 2);
  const before = path.sender.sent.filter((s) => s.endpoint === "e1").length;
  await askFor(path, 5);
  const after = path.sender.sent.filter((s) => s.endpoint === "e1").length;
  t.true(after - before > 30, `${after - before}`);
});

const NOT_HEEDED: readonly {
  readonly name: string;
  readonly result: SendResult;
}[] = [
  {
    name: "that another endpoint at its address names",
    result: shed({ moved: true, limit: LIMITED }),
  },
  {
    name: "that is no rate",
    result: answered(200, { limit: { kind: "unreadable" } }),
  },
];

for (const { name, result } of NOT_HEEDED) {
  test(`no endpoint is held to a limit ${name}`, async (t) => {
    const path = new Path({ sender: new ScriptedSender(result) });
    const outcomes = await askFor(path, 5);
    t.true(outcomes.every((outcome) => outcome === "answer 200"));
    t.deepEqual(path.limited(), []);
  });
}

// Guards against a full endpoint that is taken to be out of need.
test("an endpoint that sheds names its limit, and does not lift it", async (t) => {
  const sender = new ScriptedSender(shed({ limit: LIMITED }), answered());
  const path = new Path({ sender });
  await path.ask();
  const [limited] = path.limited();
  t.not(limited, undefined);
  path.clock.advance(1_000);
  sender.answers(() => shed());
  await askFor(path, 1);
  t.deepEqual(path.limited(), [limited]);
});
