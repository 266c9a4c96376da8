import test from "ava";
import type { AccountId, EndpointId, ServiceId } from "../core/mod.ts";
import type { SendResult } from "./endpoint_sender.ts";
import type { AnnouncedLimit } from "./request_codec.ts";
import { responded, ScriptedSender, shed } from "./testing/scripted_sender.ts";
import { account, plan, route } from "./testing/traffic_fixtures.ts";

import {
  outcomeOf,
  R1,
  R2,
  RequestPath,
  type RequestPathSetup,
} from "./testing/request_path.ts";

const NOT_IDEMPOTENT = { plan: { routes: [route({ idempotent: false })] } };

const CASES: readonly {
  readonly name: string;
  readonly setup: () => RequestPathSetup;
  readonly want: string;
  readonly sends: number;
}[] = [
  {
    name: "an endpoint sheds a request that may run once; another serves it",
    setup: () => ({
      ...NOT_IDEMPOTENT,
      sender: new ScriptedSender(shed(), responded()),
    }),
    want: "answer 200",
    sends: 2,
  },
  {
    name: "an endpoint is unreachable; another serves the request",
    setup: () => ({
      ...NOT_IDEMPOTENT,
      sender: new ScriptedSender({ kind: "unsent", reason: "refused" }),
    }),
    want: "answer 200",
    sends: 2,
  },
  {
    name: "a connection breaks during a request that may run once",
    setup: () => ({
      ...NOT_IDEMPOTENT,
      sender: new ScriptedSender({ kind: "unknown", reason: "broken" }),
    }),
    want: "endpoint_failed unknown",
    sends: 1,
  },
  {
    name: "a connection breaks during an idempotent request",
    setup: () => ({
      sender: new ScriptedSender({ kind: "unknown", reason: "broken" }),
    }),
    want: "answer 200",
    sends: 2,
  },
  {
    name: "an endpoint fails an idempotent request",
    setup: () => ({ sender: new ScriptedSender(responded(500)) }),
    want: "answer 200",
    sends: 2,
  },
  {
    name: "an endpoint fails a request that may run once",
    setup: () => ({
      ...NOT_IDEMPOTENT,
      sender: new ScriptedSender(responded(500)),
    }),
    want: "answer 500",
    sends: 1,
  },
  {
    name: "all endpoints fail a request; the last response is passed on",
    setup: () => ({
      sender: new ScriptedSender(responded(500), responded(500)),
    }),
    want: "answer 500",
    sends: 2,
  },
  {
    name: "a request that failed and then was shed has an unknown outcome",
    setup: () => ({ sender: new ScriptedSender(responded(500), shed()) }),
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
    name: "a success without a signature",
    setup: () => ({
      ...NOT_IDEMPOTENT,
      sender: new ScriptedSender(responded(200, { signed: false })),
    }),
    want: "endpoint_failed unknown",
    sends: 1,
  },
  {
    name: "a status that implies an unstated not-run",
    setup: () => ({
      ...NOT_IDEMPOTENT,
      sender: new ScriptedSender(responded(503)),
    }),
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
    name: "draining endpoints get no new requests",
    setup: () => ({ endpoints: [{ draining: true }] }),
    want: "no_endpoint not-run",
    sends: 0,
  },
  {
    name: "route and account have no allowed region in common",
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
    // Guards against requests that run twice, and against an outcome reported to
    // the caller that is not certain.
    const path = new RequestPath(setup());
    t.is(outcomeOf(await path.send()), want);
    t.is(path.sender.sent.length, sends);
    const names = path.sender.sent.map((s) => s.endpoint);
    t.is(new Set(names).size, names.length);
  });
}

test("unknown and removed API keys are refused", async (t) => {
  // An operator removes a key while its caller is connected. The caller's next
  // request must not run.
  const path = new RequestPath();
  t.is(outcomeOf(await path.send({ key: "other" })), "unauthenticated");
  t.is(outcomeOf(await path.send()), "answer 200");
  path.state.adopt(plan({ version: 2, accounts: [account({ keys: [] })] }));
  t.is(outcomeOf(await path.send()), "unauthenticated");
});

test("an older plan does not replace a newer one", async (t) => {
  // A stale read of the store returns a plan that was already replaced.
  const path = new RequestPath({ plan: { version: 5 } });
  t.false(path.state.adopt(plan({ version: 4, routes: [] })));
  t.is(outcomeOf(await path.send()), "answer 200");
});

test("an instance without a plan responds that it is not ready", async (t) => {
  // The store does not respond at the start. If the route were reported as not
  // found, callers would not retry.
  const path = new RequestPath({ plan: "none" });
  const result = path.send();
  path.clock.advance(250);
  t.is(outcomeOf(await result), "not_ready not-run");
});

test("a request that arrives before the plan is served once it is loaded", async (t) => {
  // After a kill of all instances, callers reconnect just before the plan is
  // loaded. If refused, they would retry half a second later, with a retry spent.
  const path = new RequestPath({ plan: "none" });
  const result = path.send();
  path.clock.advance(200);
  path.state.adopt(plan());
  path.gate.open();
  t.is(outcomeOf(await result), "answer 200");
});

test("an endpoint gets the time left, limited by caller and route", async (t) => {
  // With more time an endpoint would work on for a caller that has given up.
  const path = new RequestPath({
    plan: { routes: [route({ timeoutMs: 400 })] },
  });
  await path.send({ clientTimeoutMs: 1_000 });
  const headers = path.sender.sent[0]?.req.headers ?? [];
  const left = Number(headers[headers.indexOf("left") + 1]);
  t.true(left <= 400 && left > 300, String(left));
});

test("at the deadline the caller gets a response and the attempt is cancelled", async (t) => {
  // An endpoint does not respond. The caller must get the unknown outcome before
  // it gives up.
  const path = new RequestPath({ sender: new ScriptedSender("silence") });
  const result = path.send({ clientTimeoutMs: 1_000 });
  path.clock.advance(1_000);
  t.is(outcomeOf(await result), "deadline_exceeded unknown");
  t.true(path.sender.sent[0]?.cancelled);
});

test("when the caller disconnects, the attempt is cancelled at once", async (t) => {
  const path = new RequestPath({ sender: new ScriptedSender("silence") });
  const result = path.send();
  path.gone.abort();
  t.is(outcomeOf(await result), "gone");
  t.true(path.sender.sent[0]?.cancelled);
});

test("an endpoint whose address was reassigned is removed", async (t) => {
  // An endpoint has ended and another service has its address before the
  // registry shows it.
  const sender = new ScriptedSender(shed({ moved: true }), responded());
  const path = new RequestPath({ sender });
  t.is(outcomeOf(await path.send()), "answer 200");
  const first = path.sender.sent[0]?.endpoint as EndpointId;
  t.is(path.state.endpoints.get(first), undefined);
});

test("an account over its rate gets a retry delay", async (t) => {
  const limited = account({
    id: "a1" as AccountId,
    ratePerS: 1,
    burst: 1,
  });
  const path = new RequestPath({ plan: { accounts: [limited] } });
  t.is(outcomeOf(await path.send()), "answer 200");
  const result = await path.send();
  t.is(outcomeOf(result), "rate_exceeded not-run");
  if (result.kind !== "refusal") return t.fail();
  t.true((result.failure.retryAfterMs ?? 0) > 500);
});

test("a cold endpoint gets no more than its cold rate", async (t) => {
  // With its full share of the traffic, an endpoint that has just started would
  // crash; the excess goes to the others.
  const path = new RequestPath({
    endpoints: [
      { id: "e1" as EndpointId, coldMs: 3_000 },
      { id: "e2" as EndpointId },
    ],
  });
  for (let i = 0; i < 100; i++) {
    await path.send({ affinityKey: `o${i}` });
    path.clock.advance(10);
  }
  const cold = path.sender.sent.filter((s) => s.endpoint === "e1").length;
  t.true(cold > 0 && cold <= 12, String(cold));
});

test("an endpoint that fails repeatedly is ejected", async (t) => {
  // By affinity the same objects go to it each time: their callers would only see
  // failures until the registry removes it.
  const path = new RequestPath({
    ...NOT_IDEMPOTENT,
    sender: new ScriptedSender(
      ...Array.from({ length: 4 }, () => responded(500)),
    ),
  });
  const answers: string[] = [];
  for (let i = 0; i < 8; i++) {
    answers.push(outcomeOf(await path.send()));
    path.clock.advance(20);
  }
  t.deepEqual(answers.slice(-4), Array(4).fill("answer 200"));
  t.is(new Set(path.sender.sent.map((s) => s.endpoint)).size, 2);
});

test("an endpoint that sheds keeps its affinity keys", async (t) => {
  // Its slots are full briefly. If it were ejected, its objects would move to
  // endpoints that have not cached them, which would then be full as well.
  const path = new RequestPath({
    sender: new ScriptedSender(
      ...Array.from(
        { length: 10 },
        (_, i) => i % 2 === 0 ? shed() : responded(),
      ),
    ),
  });
  for (let i = 0; i < 5; i++) t.is(outcomeOf(await path.send()), "answer 200");
  t.is(outcomeOf(await path.send()), "answer 200");
  const { sent } = path.sender;
  t.is(sent.at(-1)?.endpoint, sent[0]?.endpoint);
});

test("a weighted route follows its weights", async (t) => {
  const services = [
    { service: "s" as ServiceId, weight: 90 },
    { service: "s2" as ServiceId, weight: 10 },
  ];
  const path = new RequestPath({
    plan: { routes: [route({ services })] },
    endpoints: [
      { id: "e1" as EndpointId },
      { id: "e2" as EndpointId, service: "s2" as ServiceId },
    ],
  });
  for (let i = 0; i < 50; i++) await path.send({ affinityKey: `o${i}` });
  const second = path.sender.sent.filter((s) => s.endpoint === "e2").length;
  t.is(second, 5);
});

const LIMITED = { kind: "limited", ratePerS: 2 } as const;

/** A sender whose endpoints respond with a limit or none. */
function limitedSender(
  limits: Readonly<Record<string, AnnouncedLimit>>,
): ScriptedSender {
  const none = { kind: "none" } as const;
  return new ScriptedSender().answers((endpoint) =>
    responded(200, { limit: limits[endpoint] ?? none })
  );
}

async function sendFor(path: RequestPath, seconds: number): Promise<string[]> {
  const outcomes: string[] = [];
  for (let i = 0; i < seconds * 20; i++) {
    outcomes.push(outcomeOf(await path.send({ affinityKey: `o${i % 20}` })));
    path.clock.advance(50);
    if (i % 5 === 0) path.tick();
  }
  return outcomes;
}

// Guards against an overloaded endpoint that gets its full share of the traffic.
test("requests above an endpoint's limit are served elsewhere", async (t) => {
  const path = new RequestPath({ sender: limitedSender({ e1: LIMITED }) });
  const outcomes = await sendFor(path, 10);
  t.true(outcomes.every((outcome) => outcome === "answer 200"));
  const limited = path.sender.sent.filter((s) => s.endpoint === "e1").length;
  t.true(limited >= 12 && limited <= 28, `${limited}`);
});

// Guards against requests that wait, or are sent, although all limits are reached.
test("requests above the limits of all endpoints are refused at once", async (t) => {
  const path = new RequestPath({
    sender: limitedSender({ e1: LIMITED, e2: LIMITED }),
  });
  const outcomes = await sendFor(path, 10);
  const refused = outcomes.filter((o) => o === "no_capacity not-run").length;
  t.true(refused > 120, `${refused}`);
  t.is(path.sender.sent.length, outcomes.length - refused);
  const result = await path.send();
  if (result.kind !== "refusal") return t.pass();
  t.regex(result.failure.message, /takes 2 requests a second/);
  t.true((result.failure.retryAfterMs ?? 0) >= 20);
});

// Guards against a limit that is exceeded by requests sent to an endpoint as the
// second choice, uncounted.
test("each request to an endpoint with a limit is counted", async (t) => {
  const path = new RequestPath({
    sender: limitedSender({ e1: LIMITED, e2: LIMITED }),
  });
  for (let i = 0; i < 20; i++) await path.send({ affinityKey: `o${i}` });
  t.deepEqual(path.limited().sort(), ["e1", "e2"]);
  const before = path.sender.sent.length - path.reported();
  for (let i = 0; i < 400; i++) {
    await path.send({ affinityKey: `o${i % 2}` });
    path.clock.advance(i % 100 < 50 ? 20 : 200);
    if (i % 5 === 0) path.tick();
  }
  t.is(path.sender.sent.length - path.reported(), before);
});

// Guards against a limit that stays when the endpoint no longer announces it.
test("a response without a limit removes the limit", async (t) => {
  const limits: Record<string, AnnouncedLimit> = { e1: LIMITED };
  const path = new RequestPath({ sender: limitedSender(limits) });
  await sendFor(path, 5);
  delete limits["e1"];
  await sendFor(path, 2);
  const before = path.sender.sent.filter((s) => s.endpoint === "e1").length;
  await sendFor(path, 5);
  const after = path.sender.sent.filter((s) => s.endpoint === "e1").length;
  t.true(after - before > 30, `${after - before}`);
});

const IGNORED_LIMITS: readonly {
  readonly name: string;
  readonly result: SendResult;
}[] = [
  {
    name: "that another endpoint at its address announces",
    result: shed({ moved: true, limit: LIMITED }),
  },
  {
    name: "that is not a rate",
    result: responded(200, { limit: { kind: "unreadable" } }),
  },
];

for (const { name, result } of IGNORED_LIMITS) {
  test(`a limit ${name} is ignored`, async (t) => {
    const path = new RequestPath({ sender: new ScriptedSender(result) });
    const outcomes = await sendFor(path, 5);
    t.true(outcomes.every((outcome) => outcome === "answer 200"));
    t.deepEqual(path.limited(), []);
  });
}

// Guards against a limit that is removed by a refusal without one.
test("a refusal can set a limit, but not remove it", async (t) => {
  const sender = new ScriptedSender(shed({ limit: LIMITED }), responded());
  const path = new RequestPath({ sender });
  await path.send();
  const [limited] = path.limited();
  t.not(limited, undefined);
  path.clock.advance(1_000);
  sender.answers(() => shed());
  await sendFor(path, 1);
  t.deepEqual(path.limited(), [limited]);
});

/** Lets the caller's close be read after the first result, as after a stop. */
function leavesUnread(path: RequestPath, sender: ScriptedSender): void {
  path.reads.isLate = true;
  path.reads.nextRead = () => {
    if (sender.sent.length > 0) path.gone.abort();
    return Promise.resolve();
  };
}

// Guards against second attempts for callers whose close was not read yet.
test("no second attempt is made for a caller that left while nothing was read", async (t) => {
  const broken = { kind: "unknown", reason: "broken" } as const;
  for (const first of [broken, shed(), responded(500)]) {
    const path = new RequestPath({ sender: new ScriptedSender(first) });
    leavesUnread(path, path.sender);
    t.is(outcomeOf(await path.send()), "gone");
    t.is(path.sender.sent.length, 1);
  }
});
