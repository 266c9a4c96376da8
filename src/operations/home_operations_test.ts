import test from "ava";
import { EntryKind } from "../gen/ledger_pb.ts";
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
