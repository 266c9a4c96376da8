import { create } from "@bufbuild/protobuf";
import test from "ava";
import { fail, sleep } from "../core/mod.ts";
import {
  EntryKind,
  ForwardRequestSchema,
  SettleRequestSchema,
} from "../gen/ledger_pb.ts";
import { TOKEN_LIFE_MS } from "./home_token.ts";
import { DEFAULT_LEDGER_LIMITS } from "./ledger.ts";
import {
  answerOf,
  FakeFleet,
  type FakeMessage,
  told,
} from "./testing/fake_fleet.ts";

const OWNER = "r1-a-1";
const MATE = "r1-a-2";

interface Setup {
  readonly fleet: FakeFleet;
  readonly home: string;
  readonly second: string;
  readonly elsewhere: string;
}

/** A fleet of two zones that knows each other, and a home at its first node. */
async function makeSetup(): Promise<Setup> {
  const fleet = new FakeFleet();
  await fleet.pass(300);
  const home = fleet.node(MATE).operations.homeOf(OWNER) ?? "";
  const second = home.split("~")[2] ?? "";
  const elsewhere = second === "r1-b-1" ? "r1-b-2" : "r1-b-1";
  return { fleet, home, second, elsewhere };
}

/** Does something when a message of that kind passes, once. */
function when(
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
 * The owner's process dies at some point of a purchase confirmation, and the
 * caller, which never got an answer, repeats it at another instance. A
 * confirmation that ran twice charges an importer's deposit twice; one that
 * is said not to have run, though it did, is sent again by hand.
 */
const OWNER_DIES: {
  at: string;
  arm: (s: Setup) => void;
  retry: string;
  runs: number;
}[] = [
  {
    at: "before the request came",
    arm: ({ fleet }) => fleet.kill(OWNER),
    retry: "not-run",
    runs: 0,
  },
  {
    at: "before its intent was recorded",
    arm: ({ fleet }) => {
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
    arm: ({ fleet }) =>
      when(fleet, isIntent("answer"), () => fleet.kill(OWNER)),
    retry: "unknown",
    runs: 0,
  },
  {
    at: "after dispatch",
    arm: ({ fleet }) => {
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
    arm: ({ fleet }) => {
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
    arm: ({ fleet }) =>
      when(fleet, isAnswer("answer"), () => fleet.kill(OWNER)),
    retry: "done by 0",
    runs: 1,
  },
];

for (const { at, arm, retry, runs } of OWNER_DIES) {
  for (const where of [MATE, "second", "elsewhere"] as const) {
    test(`owner dies ${at}; retry at ${where}`, async (t) => {
      const setup = await makeSetup();
      const { fleet, home } = setup;
      arm(setup);
      fleet.send(OWNER, { id: "op", home });
      await fleet.pass(500);
      const node = where === MATE ? MATE : setup[where];
      const second = fleet.send(node, { id: "op", home });
      await fleet.pass(2_500);
      t.is(told(second), retry);
      t.is(fleet.dispatches.length, runs);
      t.deepEqual(fleet.violations(), []);
    });
  }
}

/**
 * The second place, or the way to it, fails while a hold is placed; then the
 * owner may die as well. The caller repeats the hold at another zone. A brewer
 * whose lot is held twice turns other buyers away.
 */
const SECOND_FAILS: {
  what: string;
  arm: (s: Setup) => void;
  first: string;
  retry: string;
  runs: number;
}[] = [
  {
    what: "second place dead before the request",
    arm: ({ fleet, second }) => fleet.kill(second),
    first: "not-run",
    retry: "not-run",
    runs: 0,
  },
  {
    what: "second place dies as its receipt leaves",
    arm: ({ fleet, second }) =>
      when(fleet, isIntent("answer"), () => fleet.kill(second)),
    first: "done by 0",
    retry: "done by 0",
    runs: 1,
  },
  {
    what: "second place dies while the operation runs",
    arm: ({ fleet, second }) => {
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
    what: "second place dies while it runs, then the owner",
    arm: ({ fleet, second }) => {
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
    what: "intent lost on its way",
    arm: ({ fleet }) => {
      fleet.onMessage = (m) => isIntent("request")(m) ? "lose" : "deliver";
    },
    first: "not-run",
    retry: "not-run",
    runs: 0,
  },
  {
    what: "the intent's receipt lost",
    arm: ({ fleet }) => {
      fleet.onMessage = (m) => isIntent("answer")(m) ? "lose" : "deliver";
    },
    first: "not-run",
    retry: "not-run",
    runs: 0,
  },
  {
    what: "intent late, after the owner gave up on it",
    arm: ({ fleet }) => {
      fleet.onMessage = (m) => isIntent("request")(m) ? "late" : "deliver";
    },
    first: "not-run",
    retry: "not-run",
    runs: 0,
  },
  {
    what: "intent repeated after the answer",
    arm: ({ fleet }) => {
      fleet.onMessage = (m) => isIntent("request")(m) ? "repeat" : "deliver";
    },
    first: "done by 0",
    retry: "done by 0",
    runs: 1,
  },
  {
    what: "answer's record lost",
    arm: ({ fleet }) => {
      fleet.onMessage = (m) => isAnswer("request")(m) ? "lose" : "deliver";
    },
    first: "done by 0",
    retry: "done by 0",
    runs: 1,
  },
  {
    what: "owner cut off from its second place",
    arm: ({ fleet, second }) => fleet.cut(OWNER, second),
    first: "not-run",
    retry: "not-run",
    runs: 0,
  },
];

for (const { what, arm, first, retry, runs } of SECOND_FAILS) {
  test(`${what}; retry in another zone`, async (t) => {
    const setup = await makeSetup();
    const { fleet, home, elsewhere } = setup;
    arm(setup);
    const a = fleet.send(OWNER, { id: "op", home });
    await fleet.pass(1_500);
    const b = fleet.send(elsewhere, { id: "op", home });
    await fleet.pass(5_000);
    t.deepEqual([told(a), told(b), fleet.dispatches.length], [
      first,
      retry,
      runs,
    ]);
    t.deepEqual(fleet.violations(), []);
  });
}

/**
 * The instance that a caller sends to is not the operation's home, and the
 * message to the home gets lost, comes late or comes twice. The caller sees a
 * refusal or nothing, and repeats; a member's phone must ring once.
 */
const FORWARD_FAILS: {
  what: string;
  fate: (m: FakeMessage, n: number) => "deliver" | "lose" | "late" | "repeat";
  first: string;
  retry: string;
  runs: number;
}[] = [
  {
    what: "message lost",
    fate: (_m, n) => n === 0 ? "lose" : "deliver",
    first: "unknown",
    retry: "done by 1",
    runs: 1,
  },
  {
    what: "answer lost",
    fate: (_m, n) => n === 1 ? "lose" : "deliver",
    first: "unknown",
    retry: "done by 0",
    runs: 1,
  },
  {
    what: "message late",
    fate: (_m, n) => n === 0 ? "late" : "deliver",
    first: "unknown",
    retry: "done by 1",
    runs: 1,
  },
  {
    what: "message repeated",
    fate: (_m, n) => n === 0 ? "repeat" : "deliver",
    first: "done by 0",
    retry: "done by 0",
    runs: 1,
  },
];

for (const { what, fate, first, retry, runs } of FORWARD_FAILS) {
  test(`forwarded: ${what}`, async (t) => {
    const { fleet, home, elsewhere } = await makeSetup();
    let n = 0;
    fleet.onMessage = (m) => m.kind === "forward" ? fate(m, n++) : "deliver";
    const a = fleet.send(elsewhere, { id: "op", home, patienceMs: 1_000 });
    await fleet.pass(1_500);
    const b = fleet.send(elsewhere, { id: "op", home });
    await fleet.pass(5_000);
    t.deepEqual([told(a), told(b), fleet.dispatches.length], [
      first,
      retry,
      runs,
    ]);
    t.deepEqual(fleet.violations(), []);
  });
}

/**
 * A repeated message of an attempt that was refused arrives once more when
 * there is room again. The caller was told that it did not run and has begun
 * anew elsewhere; a run now would be the second.
 */
test("a refused attempt stays refused when its message comes twice", async (t) => {
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
  await fleet.pass(500);
  refuse = false;
  await fleet.pass(5_000);
  t.deepEqual(attempts.map(told), ["not-run", "not-run"]);
  t.deepEqual(fleet.dispatches, []);
});

/**
 * The owner is paused right after its intent was recorded, long enough for
 * others to answer in its stead. When it goes on, the caller has its answer
 * already; a dispatch then would surprise whoever was told "unknown" and gave
 * the lot to somebody else.
 */
test("a paused owner does not act on an old intent", async (t) => {
  const { fleet, home, elsewhere } = await makeSetup();
  when(fleet, isIntent("answer"), () => fleet.node(OWNER).pause());
  fleet.send(OWNER, { id: "op", home });
  await fleet.pass(6_000);
  const retry = fleet.send(elsewhere, { id: "op", home });
  await fleet.pass(3_000);
  fleet.node(OWNER).resume();
  await fleet.pass(1_000);
  t.is(told(retry), "unknown");
  t.deepEqual(fleet.dispatches, []);
});

/**
 * The owner is paused before its intent goes out, and somebody answers "not
 * run" in its stead. The caller begins anew at another home; the paused owner
 * must not run the first one when it wakes.
 */
test("a paused owner is shut out by the answer given in its stead", async (t) => {
  const { fleet, home, elsewhere } = await makeSetup();
  fleet.node(OWNER).pause();
  const first = fleet.send(OWNER, { id: "op", home });
  await fleet.pass(3_000);
  const retry = fleet.send(elsewhere, { id: "op", home });
  await fleet.pass(500);
  t.is(told(retry), "not-run");
  fleet.node(OWNER).resume();
  await fleet.pass(1_000);
  t.is(told(first), "not-run");
  t.deepEqual(fleet.dispatches, []);
});

/**
 * A caller goes away while its subscription runs, and asks again later. The
 * endpoint's answer came after the caller's patience ended; it must be there
 * for the retry, or the member subscribes twice.
 */
test("a late answer is kept for the retry", async (t) => {
  const { fleet, home, elsewhere } = await makeSetup();
  fleet.onDispatch = async (d) => {
    await sleep(fleet.clock, 1_500);
    return answerOf(d.attempt);
  };
  const first = fleet.send(OWNER, { id: "op", home, patienceMs: 200 });
  await fleet.pass(400);
  const joined = fleet.send(elsewhere, { id: "op", home });
  await fleet.pass(2_000);
  const retry = fleet.send(elsewhere, { id: "op", home });
  await fleet.pass(200);
  t.deepEqual([first, joined, retry].map(told), [
    "unknown",
    "done by 0",
    "done by 0",
  ]);
  t.is(fleet.dispatches.length, 1);
});

/**
 * One id is used for two different requests by mistake. Were the second given
 * the first one's answer, its caller would believe a purchase confirmed that
 * nobody asked the endpoint for.
 */
test("an id that was used for another request is refused", async (t) => {
  const { fleet, home, elsewhere } = await makeSetup();
  fleet.send(OWNER, { id: "op", home, body: "a" });
  await fleet.pass(100);
  const other = fleet.send(elsewhere, { id: "op", home, body: "b" });
  await fleet.pass(100);
  t.is(told(other), "not-run");
  t.true(other.result?.isErr() && other.result.error.code === "bad_request");
});

/**
 * A burst of new operations fills the ledger. Were old records dropped to make
 * room, their retries would run again; instead new ones are turned away, and
 * stay turned away under the tokens that were refused.
 */
test("a full ledger refuses new operations and forgets none", async (t) => {
  const fleet = new FakeFleet({ limits: { maxRecords: 4 } });
  await fleet.pass(300);
  const home = fleet.node(OWNER).operations.homeOf(OWNER);
  const first = ["1", "2", "3", "4"].map((id) =>
    fleet.send(OWNER, { id, home })
  );
  await fleet.pass(100);
  const over = fleet.send(OWNER, { id: "5", home });
  await fleet.pass(100);
  const again = ["1", "2", "3", "4"].map((id) =>
    fleet.send(OWNER, { id, home })
  );
  await fleet.pass(DEFAULT_LEDGER_LIMITS.retentionMs / 400);
  t.deepEqual(first.map(told), again.map(told));
  t.is(told(over), "not-run");
  t.truthy(over.result?.isErr() && over.result.error.retryAfterMs);
  t.is(fleet.dispatches.length, 4);
});

/**
 * An attempt comes so late that its operation's record is forgotten. Nobody
 * can tell it from a new one by its id; its old token gives it away.
 */
test("an attempt with an old home never starts a run", async (t) => {
  const fleet = new FakeFleet({ limits: { retentionMs: 700_000 } });
  await fleet.pass(300);
  const home = fleet.node(OWNER).operations.homeOf(OWNER);
  fleet.clock.advance(TOKEN_LIFE_MS + 1);
  await fleet.pass(200);
  const late = fleet.send(OWNER, { id: "op", home });
  await fleet.pass(200);
  fleet.kill(OWNER);
  const inStead = fleet.send(MATE, { id: "op", home });
  await fleet.pass(500);
  t.deepEqual([told(late), told(inStead)], ["unknown", "unknown"]);
  t.is(fleet.dispatches.length, 0);
});

/**
 * Somebody who reaches the peer address sends an operation under an account of
 * choice, or shuts out another's operation. Taking that at its word would run
 * requests without any key. What callers learn from tokens must not help.
 */
test("a stranger's call runs nothing and shuts nothing out", async (t) => {
  const { fleet, home } = await makeSetup();
  const { operations, incarnation } = fleet.node(OWNER);
  const [, shown] = home.split("~");
  t.not(shown, incarnation);
  for (const life of ["", shown ?? ""]) {
    const from = { instance: MATE, incarnation: life };
    const forwarded = await operations.forward(
      create(ForwardRequestSchema, { id: "op", account: "a1", home, from }),
    );
    const settled = operations.settle(
      create(SettleRequestSchema, { incarnation: shown ?? "", from }),
    );
    t.true(forwarded.gone && settled.gone);
  }
  t.deepEqual(fleet.dispatches, []);
});
