import test from "ava";
import { DEFAULT_LEDGER_LIMITS, Ledger } from "./ledger.ts";

const NAME = { account: "a1", id: "op", scope: "" };

function intentOf(run: string, owner = "o") {
  return { name: NAME, fingerprint: "f", run, owner, keepMs: 1_000 };
}

/**
 * The owner gave up on a first run and began a second. The first one's intent
 * arrives late at the second place, then the word that it was given up. Were
 * the second run's record cleared by that, a new holder of the seat would
 * place the same hold again.
 */
test("a late intent of an earlier run does not replace a later one", (t) => {
  const ledger = new Ledger();
  t.true(ledger.intent(intentOf("o.2"), 0).accepted);
  t.false(ledger.intent(intentOf("o.1"), 0).accepted);
  ledger.conclude(NAME, "o.1", { conclusion: { state: "refused" }, now: 0 });
  t.is(ledger.view(NAME).state, "intent");
});

/**
 * Answers fill the memory. An answer too large to be kept is dropped; that the
 * operation ran is not, or its retry would run again.
 */
test("a large answer is dropped, the record stays", (t) => {
  const ledger = new Ledger({ ...DEFAULT_LEDGER_LIMITS, maxAnswerBytes: 10 });
  ledger.intent(intentOf("o.1"), 0);
  const answer = { status: 200, headers: {}, body: new Uint8Array(11) };
  const conclusion = { state: "answered", answer } as const;
  ledger.conclude(NAME, "o.1", { conclusion, now: 0 });
  t.is(ledger.view(NAME).state, "answered");
  t.is(ledger.view(NAME).answer, undefined);
  t.is(ledger.bytes, 0);
});

test("bytes of answers are counted, bounded and given back", (t) => {
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
 * An answer arrives as a small part of a large message between instances. Kept
 * as that part, it holds the whole message in memory for ten minutes, and an
 * instance runs out of memory while its ledger says that it is nearly empty.
 */
test("a kept answer does not hold the message it came in", (t) => {
  const ledger = new Ledger();
  ledger.intent(intentOf("o.1"), 0);
  const body = new Uint8Array(1_000_000).subarray(0, 10);
  const answer = { status: 200, headers: {}, body };
  const conclusion = { state: "answered", answer } as const;
  ledger.conclude(NAME, "o.1", { conclusion, now: 0 });
  t.is(ledger.view(NAME).answer?.body.buffer.byteLength, 10);
});
