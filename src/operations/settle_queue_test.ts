import { create } from "@bufbuild/protobuf";
import test from "ava";
import { ok, type Result } from "neverthrow";
import { fail, type Failure } from "../core/mod.ts";
import {
  EntryKind,
  LedgerEntrySchema,
  LedgerResultSchema,
  type SettleRequest,
  type SettleResponse,
  SettleResponseSchema,
} from "../gen/ledger_pb.ts";
import type { PeerTransport } from "../peers/mod.ts";
import type { KnownPlace } from "./places.ts";
import { SettleQueue } from "./settle_queue.ts";

type Settle = (req: SettleRequest) => Result<SettleResponse, Failure>;

const PLACE: KnownPlace = {
  instance: "i2",
  incarnation: "0b",
  secret: "b",
  zone: "z",
  region: "r",
  peerUrl: "",
  leaving: false,
  heardAt: 0,
  home: "",
  clockMs: 0,
};

function makeQueue(settle: Settle): { queue: SettleQueue; calls: number[] } {
  const calls: number[] = [];
  const unused = () => Promise.resolve(fail("peer_unavailable", "unused"));
  const transport = {
    settle: (_url: string, req: SettleRequest) => {
      calls.push(req.entries.length);
      return Promise.resolve(settle(req));
    },
    forward: unused,
  } as unknown as PeerTransport;
  const self = { instance: "i1", incarnation: "a" };
  return { queue: new SettleQueue(transport, self), calls };
}

function send(queue: SettleQueue, n: number) {
  const entries = Array.from(
    { length: n },
    (_, i) =>
      create(LedgerEntrySchema, { kind: EntryKind.INTENT, run: `r.${i}` }),
  );
  return Promise.all(entries.map((entry) => queue.send(PLACE, entry)));
}

function echo(req: SettleRequest): Result<SettleResponse, Failure> {
  const results = req.entries.map((e) =>
    create(LedgerResultSchema, { accepted: true, fingerprint: e.run })
  );
  return ok(create(SettleResponseSchema, { results }));
}

/**
 * A burst of operations begins at once. One call for each would cost both ends
 * more processor time than the operations; answers that were mixed up between
 * entries would dispatch an operation whose intent was refused.
 */
test("entries that come together leave together, each with its own answer", async (t) => {
  const { queue, calls } = makeQueue(echo);
  const settled = await send(queue, 600);
  t.deepEqual(calls, [256, 256, 88]);
  const told = settled.map((s) => s._unsafeUnwrap().result.fingerprint);
  t.deepEqual(told, settled.map((_, i) => `r.${i}`));
});

/**
 * A place gives no answer, a short one, or is another incarnation. An entry
 * without an answer must not pass for recorded.
 */
const BROKEN: { what: string; settle: Settle; outcome: string }[] = [
  {
    what: "no answer",
    settle: () => fail("peer_unavailable", "cut", { outcome: "unknown" }),
    outcome: "unknown",
  },
  {
    what: "a short answer",
    settle: () => ok(create(SettleResponseSchema, {})),
    outcome: "unknown",
  },
  {
    what: "word that it is another incarnation",
    settle: () => ok(create(SettleResponseSchema, { gone: true })),
    outcome: "not-run",
  },
];

for (const { what, settle, outcome } of BROKEN) {
  test(`a place gives ${what}`, async (t) => {
    const { queue } = makeQueue(settle);
    const settled = await send(queue, 2);
    t.deepEqual(
      settled.map((s) => s._unsafeUnwrapErr().outcome),
      [outcome, outcome],
    );
  });
}
