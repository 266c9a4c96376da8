import { create } from "@bufbuild/protobuf";
import test from "ava";
import { fail, sleep } from "../core/mod.ts";
import {
  EntryKind,
  ForwardRequestSchema,
  SettleRequestSchema,
} from "../gen/ledger_pb.ts";
import { TOKEN_TTL_MS } from "./home_token.ts";
import { DEFAULT_LEDGER_LIMITS } from "./ledger.ts";
import {
  answerOf,
  FakeFleet,
  type FakeMessage,
  resultText,
} from "./testing/fake_fleet.ts";

const OWNER = "r1-a-1";
const ZONE_PEER = "r1-a-2";

interface Setup {
  readonly fleet: FakeFleet;
  readonly home: string;
  readonly second: string;
  readonly elsewhere: string;
}

/** A two-zone fleet after gossip, and a home token for its first node. */
async function makeSetup(): Promise<Setup> {
  const fleet = new FakeFleet();
  await fleet.advance(300);
  const home = fleet.node(ZONE_PEER).operations.homeTokenOf(OWNER) ?? "";
  const second = home.split("~")[2] ?? "";
  const elsewhere = second === "r1-b-1" ? "r1-b-2" : "r1-b-1";
  return { fleet, home, second, elsewhere };
}

/** Runs `act` once, at the first message that matches. */
function onceOnMessage(
  fleet: FakeFleet,
  matches: (msg: FakeMessage) => boolean,
  act: () => void,
): void {
  let done = false;
  fleet.onMessage = (msg) => {
    if (!done && matches(msg)) {
      done = true;
      act();
    }
    return "deliver";
  };
}

function isIntent(stage: FakeMessage["stage"]) {
  return (msg: FakeMessage) =>
    msg.stage === stage && msg.entries.includes(EntryKind.INTENT);
}

function isAnswer(stage: FakeMessage["stage"]) {
  return (msg: FakeMessage) =>
    msg.stage === stage && msg.entries.includes(EntryKind.ANSWER);
}

/**
 * The owner crashes at some point of a purchase confirmation, and the caller,
 * which received no answer, retries at another instance. A confirmation that
 * runs twice charges an importer's deposit twice; one falsely reported as not
 * run is sent again by hand.
 */
const OWNER_DIES: {
  at: string;
  inject: (s: Setup) => void;
  retry: string;
  runs: number;
}[] = [
  {
    at: "before the request arrived",
    inject: ({ fleet }) => fleet.kill(OWNER),
    retry: "not-run",
    runs: 0,
  },
  {
    at: "before its intent was recorded",
    inject: ({ fleet }) => {
      fleet.onMessage = (msg) => {
        if (!isIntent("request")(msg)) return "deliver";
        fleet.kill(OWNER);
        return "lose";
      };
    },
    retry: "not-run",
    runs: 0,
  },
  {
    at: "after its intent was recorded, before dispatch",
    inject: ({ fleet }) =>
      onceOnMessage(fleet, isIntent("answer"), () => fleet.kill(OWNER)),
    retry: "unknown",
    runs: 0,
  },
  {
    at: "after dispatch",
    inject: ({ fleet }) => {
      fleet.onDispatch = (d) => {
        fleet.kill(OWNER);
        return Promise.resolve(answerOf(d.attempt));
      };
    },
    retry: "unknown",
    runs: 1,
  },
  {
    at: "after the answer, before it was recorded",
    inject: ({ fleet }) => {
      fleet.onMessage = (msg) => {
        if (!isAnswer("request")(msg)) return "deliver";
        fleet.kill(OWNER);
        return "lose";
      };
    },
    retry: "unknown",
    runs: 1,
  },
  {
    at: "after the answer was recorded",
    inject: ({ fleet }) =>
      onceOnMessage(fleet, isAnswer("answer"), () => fleet.kill(OWNER)),
    retry: "done by 0",
    runs: 1,
  },
];

for (const { at, inject, retry, runs } of OWNER_DIES) {
  for (const where of [ZONE_PEER, "second", "elsewhere"] as const) {
    test(`owner crashes ${at}; retry at ${where}`, async (t) => {
      const setup = await makeSetup();
      const { fleet, home } = setup;
      inject(setup);
      fleet.send(OWNER, { id: "op", home });
      await fleet.advance(500);
      const node = where === ZONE_PEER ? ZONE_PEER : setup[where];
      const again = fleet.send(node, { id: "op", home });
      await fleet.advance(2_500);
      t.is(resultText(again), retry);
      t.is(fleet.dispatches.length, runs);
      t.deepEqual(fleet.violations(), []);
    });
  }
}

/**
 * The backup, or the link to it, fails while a hold is placed; then the owner
 * may crash too. The caller retries the hold in another zone. A brewer whose
 * lot is held twice turns other buyers away.
 */
const SECOND_FAILS: {
  what: string;
  inject: (s: Setup) => void;
  first: string;
  retry: string;
  runs: number;
}[] = [
  {
    what: "backup down before the request",
    inject: ({ fleet, second }) => fleet.kill(second),
    first: "not-run",
    retry: "not-run",
    runs: 0,
  },
  {
    what: "backup crashes as it sends its receipt",
    inject: ({ fleet, second }) =>
      onceOnMessage(fleet, isIntent("answer"), () => fleet.kill(second)),
    first: "done by 0",
    retry: "done by 0",
    runs: 1,
  },
  {
    what: "backup crashes while the operation runs",
    inject: ({ fleet, second }) => {
      fleet.onDispatch = (d) => {
        fleet.kill(second);
        return Promise.resolve(answerOf(d.attempt));
      };
    },
    first: "done by 0",
    retry: "done by 0",
    runs: 1,
  },
  {
    what: "backup crashes while it runs, then the owner",
    inject: ({ fleet, second }) => {
      fleet.onDispatch = (d) => {
        fleet.kill(second);
        fleet.kill(OWNER);
        return Promise.resolve(answerOf(d.attempt));
      };
    },
    first: "nothing",
    retry: "unknown",
    runs: 1,
  },
  {
    what: "intent lost in transit",
    inject: ({ fleet }) => {
      fleet.onMessage = (m) => isIntent("request")(m) ? "lose" : "deliver";
    },
    first: "not-run",
    retry: "not-run",
    runs: 0,
  },
  {
    what: "the intent's receipt lost",
    inject: ({ fleet }) => {
      fleet.onMessage = (m) => isIntent("answer")(m) ? "lose" : "deliver";
    },
    first: "not-run",
    retry: "not-run",
    runs: 0,
  },
  {
    what: "intent late, after the owner gave up on it",
    inject: ({ fleet }) => {
      fleet.onMessage = (m) => isIntent("request")(m) ? "late" : "deliver";
    },
    first: "not-run",
    retry: "not-run",
    runs: 0,
  },
  {
    what: "intent repeated after the answer",
    inject: ({ fleet }) => {
      fleet.onMessage = (m) => isIntent("request")(m) ? "repeat" : "deliver";
    },
    first: "done by 0",
    retry: "done by 0",
    runs: 1,
  },
  {
    what: "the answer's entry lost",
    inject: ({ fleet }) => {
      fleet.onMessage = (m) => isAnswer("request")(m) ? "lose" : "deliver";
    },
    first: "done by 0",
    retry: "done by 0",
    runs: 1,
  },
  {
    what: "owner partitioned from its backup",
    inject: ({ fleet, second }) => fleet.cut(OWNER, second),
    first: "not-run",
    retry: "not-run",
    runs: 0,
  },
];

for (const { what, inject, first, retry, runs } of SECOND_FAILS) {
  test(`${what}; retry in another zone`, async (t) => {
    const setup = await makeSetup();
    const { fleet, home, elsewhere } = setup;
    inject(setup);
    const a = fleet.send(OWNER, { id: "op", home });
    await fleet.advance(1_500);
    const b = fleet.send(elsewhere, { id: "op", home });
    await fleet.advance(5_000);
    t.deepEqual([resultText(a), resultText(b), fleet.dispatches.length], [
      first,
      retry,
      runs,
    ]);
    t.deepEqual(fleet.violations(), []);
  });
}

/**
 * The instance that receives the request is not the operation's home, and the
 * message to the home is lost, late or duplicated. The caller sees a failure or
 * nothing and retries; a member's phone must ring once.
 */
const FORWARD_FAILS: {
  what: string;
  delivery: (
    m: FakeMessage,
    n: number,
  ) => "deliver" | "lose" | "late" | "repeat";
  first: string;
  retry: string;
  runs: number;
}[] = [
  {
    what: "message lost",
    delivery: (_m, n) => n === 0 ? "lose" : "deliver",
    first: "unknown",
    retry: "done by 1",
    runs: 1,
  },
  {
    what: "answer lost",
    delivery: (_m, n) => n === 1 ? "lose" : "deliver",
    first: "unknown",
    retry: "done by 0",
    runs: 1,
  },
  {
    what: "message late",
    delivery: (_m, n) => n === 0 ? "late" : "deliver",
    first: "unknown",
    retry: "done by 1",
    runs: 1,
  },
  {
    what: "message repeated",
    delivery: (_m, n) => n === 0 ? "repeat" : "deliver",
    first: "done by 0",
    retry: "done by 0",
    runs: 1,
  },
];

for (const { what, delivery, first, retry, runs } of FORWARD_FAILS) {
  test(`forwarded: ${what}`, async (t) => {
    const { fleet, home, elsewhere } = await makeSetup();
    let n = 0;
    fleet.onMessage = (m) =>
      m.kind === "forward" ? delivery(m, n++) : "deliver";
    const a = fleet.send(elsewhere, { id: "op", home, maxWaitMs: 1_000 });
    await fleet.advance(1_500);
    const b = fleet.send(elsewhere, { id: "op", home });
    await fleet.advance(5_000);
    t.deepEqual([resultText(a), resultText(b), fleet.dispatches.length], [
      first,
      retry,
      runs,
    ]);
    t.deepEqual(fleet.violations(), []);
  });
}

/**
 * A duplicate message of a refused attempt arrives when there is room again.
 * The caller received "not run" and has started over elsewhere, so a run now
 * would be the second.
 */
test("a refused attempt stays refused when its message is duplicated", async (t) => {
  const { fleet, home, elsewhere } = await makeSetup();
  let refuse = true;
  fleet.onDispatch = (d) => {
    if (!refuse) return Promise.resolve(answerOf(d.attempt));
    return Promise.resolve(fail("no_capacity", "full", { outcome: "not-run" }));
  };
  fleet.onMessage = (m) => m.kind === "forward" ? "repeat" : "deliver";
  const attempts = [
    fleet.send(elsewhere, { id: "op", home }),
    fleet.send(elsewhere, { id: "plain" }),
  ];
  await fleet.advance(500);
  refuse = false;
  await fleet.advance(5_000);
  t.deepEqual(attempts.map(resultText), ["not-run", "not-run"]);
  t.deepEqual(fleet.dispatches, []);
});

/**
 * The owner is paused right after its intent was recorded, long enough for
 * other instances to answer on its behalf. The caller received "unknown" and
 * may have given the lot to another buyer, so the owner must not dispatch when
 * it resumes.
 */
test("a paused owner does not dispatch an old intent", async (t) => {
  const { fleet, home, elsewhere } = await makeSetup();
  onceOnMessage(fleet, isIntent("answer"), () => fleet.node(OWNER).pause());
  fleet.send(OWNER, { id: "op", home });
  await fleet.advance(6_000);
  const retry = fleet.send(elsewhere, { id: "op", home });
  await fleet.advance(3_000);
  fleet.node(OWNER).resume();
  await fleet.advance(1_000);
  t.is(resultText(retry), "unknown");
  t.deepEqual(fleet.dispatches, []);
});

/**
 * The owner is paused before it sends its intent, and another instance answers
 * "not run" on its behalf. The caller starts over at another home; the owner
 * must not run the first attempt when it resumes.
 */
test("a paused owner is fenced off by the answer given on its behalf", async (t) => {
  const { fleet, home, elsewhere } = await makeSetup();
  fleet.node(OWNER).pause();
  const first = fleet.send(OWNER, { id: "op", home });
  await fleet.advance(3_000);
  const retry = fleet.send(elsewhere, { id: "op", home });
  await fleet.advance(500);
  t.is(resultText(retry), "not-run");
  fleet.node(OWNER).resume();
  await fleet.advance(1_000);
  t.is(resultText(first), "not-run");
  t.deepEqual(fleet.dispatches, []);
});

/**
 * A caller disconnects while its subscription runs, and retries later. The
 * endpoint answered after the caller's deadline; if the answer is lost, the
 * member subscribes twice.
 */
test("a late answer is kept for the retry", async (t) => {
  const { fleet, home, elsewhere } = await makeSetup();
  fleet.onDispatch = async (d) => {
    await sleep(fleet.clock, 1_500);
    return answerOf(d.attempt);
  };
  const first = fleet.send(OWNER, { id: "op", home, maxWaitMs: 200 });
  await fleet.advance(400);
  const joined = fleet.send(elsewhere, { id: "op", home });
  await fleet.advance(2_000);
  const retry = fleet.send(elsewhere, { id: "op", home });
  await fleet.advance(200);
  t.deepEqual([first, joined, retry].map(resultText), [
    "unknown",
    "done by 0",
    "done by 0",
  ]);
  t.is(fleet.dispatches.length, 1);
});

/**
 * One id is used for two different requests by mistake. If the second received
 * the first one's answer, its caller would take a purchase as confirmed that
 * was never sent to the endpoint.
 */
test("an id that was used for another request is refused", async (t) => {
  const { fleet, home, elsewhere } = await makeSetup();
  fleet.send(OWNER, { id: "op", home, body: "a" });
  await fleet.advance(100);
  const other = fleet.send(elsewhere, { id: "op", home, body: "b" });
  await fleet.advance(100);
  t.is(resultText(other), "not-run");
  t.true(other.result?.isErr() && other.result.error.code === "bad_request");
});

/**
 * A burst of new operations fills the ledger. If old records were evicted,
 * their retries would run again; instead new operations are refused, and stay
 * refused under the same tokens.
 */
test("a full ledger refuses new operations and evicts none", async (t) => {
  const fleet = new FakeFleet({ limits: { maxRecords: 4 } });
  await fleet.advance(300);
  const home = fleet.node(OWNER).operations.homeTokenOf(OWNER);
  const first = ["1", "2", "3", "4"].map((id) =>
    fleet.send(OWNER, { id, home })
  );
  await fleet.advance(100);
  const refused = fleet.send(OWNER, { id: "5", home });
  await fleet.advance(100);
  const again = ["1", "2", "3", "4"].map((id) =>
    fleet.send(OWNER, { id, home })
  );
  await fleet.advance(DEFAULT_LEDGER_LIMITS.retentionMs / 400);
  t.deepEqual(first.map(resultText), again.map(resultText));
  t.is(resultText(refused), "not-run");
  t.truthy(refused.result?.isErr() && refused.result.error.retryAfterMs);
  t.is(fleet.dispatches.length, 4);
});

/**
 * An attempt arrives after the record of its operation has expired. Its id
 * looks new; only the age of its token shows that it is not.
 */
test("an attempt with an expired home token never starts a run", async (t) => {
  const fleet = new FakeFleet({ limits: { retentionMs: 700_000 } });
  await fleet.advance(300);
  const home = fleet.node(OWNER).operations.homeTokenOf(OWNER);
  fleet.clock.advance(TOKEN_TTL_MS + 1);
  await fleet.advance(200);
  const late = fleet.send(OWNER, { id: "op", home });
  await fleet.advance(200);
  fleet.kill(OWNER);
  const onBehalf = fleet.send(ZONE_PEER, { id: "op", home });
  await fleet.advance(500);
  t.deepEqual([resultText(late), resultText(onBehalf)], ["unknown", "unknown"]);
  t.is(fleet.dispatches.length, 0);
});

/**
 * A stranger that reaches the peer address sends an operation under any
 * account, or fences off another's operation. Accepting it would run requests
 * without an API key. The public incarnation in tokens must not suffice.
 */
test("a stranger's call runs nothing and fences nothing off", async (t) => {
  const { fleet, home } = await makeSetup();
  const { operations, incarnation } = fleet.node(OWNER);
  const [, publicId] = home.split("~");
  t.not(publicId, incarnation);
  for (const incarnationId of ["", publicId ?? ""]) {
    const from = { instance: ZONE_PEER, incarnation: incarnationId };
    const forwarded = await operations.forward(
      create(ForwardRequestSchema, { id: "op", account: "a1", home, from }),
    );
    const settled = operations.settle(
      create(SettleRequestSchema, { incarnation: publicId ?? "", from }),
    );
    t.true(forwarded.gone && settled.gone);
  }
  t.deepEqual(fleet.dispatches, []);
});
