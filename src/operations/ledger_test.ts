import test from "ava";
import { DEFAULT_LEDGER_LIMITS, Ledger } from "./ledger.ts";

const NAME = { account: "a1", id: "op", scope: "" };

function intentOf(run: string, owner = "o") {
  return { name: NAME, fingerprint: "f", run, owner, keepMs: 1_000 };
}

/**
 * The owner gave up on a first run and started a second. The first one's intent
 * arrives late at the backup, then its refusal. If that cleared the second
 * run's record, a new holder of the seat would place the same hold again.
 */
test("a late intent of an earlier run does not replace a later one", (t) => {
  const ledger = new Ledger();
  t.true(ledger.intent(intentOf("o.2"), 0).accepted);
  t.false(ledger.intent(intentOf("o.1"), 0).accepted);
  ledger.conclude(NAME, "o.1", { conclusion: { state: "refused" }, now: 0 });
  t.is(ledger.view(NAME).state, "intent");
});

/**
 * Answers are bounded in size. If dropping a large answer also dropped the
 * record that the operation ran, a retry would run it again.
 */
test("a large answer is dropped, its record is kept", (t) => {
  const ledger = new Ledger({ ...DEFAULT_LEDGER_LIMITS, maxAnswerBytes: 10 });
  ledger.intent(intentOf("o.1"), 0);
  const answer = { status: 200, headers: {}, body: new Uint8Array(11) };
  const conclusion = { state: "answered", answer } as const;
  ledger.conclude(NAME, "o.1", { conclusion, now: 0 });
  t.is(ledger.view(NAME).state, "answered");
  t.is(ledger.view(NAME).answer, undefined);
  t.is(ledger.bytes, 0);
});

test("answer bytes are counted, bounded and released", (t) => {
  const ledger = new Ledger({ ...DEFAULT_LEDGER_LIMITS, maxBytes: 8 });
  ledger.intent(intentOf("o.1"), 0);
  const answer = { status: 200, headers: {}, body: new Uint8Array(8) };
  const conclusion = { state: "answered", answer } as const;
  ledger.conclude(NAME, "o.1", { conclusion, now: 0 });
  t.true(ledger.full);
  const begun = ledger.begin(
    { ...intentOf(""), name: { ...NAME, id: "b" } },
    0,
  );
  t.is(begun.kind, "full");
  ledger.expire(DEFAULT_LEDGER_LIMITS.retentionMs);
  t.false(ledger.full);
  t.is(ledger.size, 0);
});

/**
 * An answer arrives as a small part of a large message between instances.
 * Stored as a view, it keeps the whole message in memory for ten minutes, and
 * the instance runs out of memory while its ledger counts few bytes.
 */
test("a recorded answer does not retain the message it arrived in", (t) => {
  const ledger = new Ledger();
  ledger.intent(intentOf("o.1"), 0);
  const body = new Uint8Array(1_000_000).subarray(0, 10);
  const answer = { status: 200, headers: {}, body };
  const conclusion = { state: "answered", answer } as const;
  ledger.conclude(NAME, "o.1", { conclusion, now: 0 });
  t.is(ledger.view(NAME).answer?.body.buffer.byteLength, 10);
});
