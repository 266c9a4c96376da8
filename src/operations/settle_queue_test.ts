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
import type { PeerReplica } from "./replica_table.ts";
import { SettleQueue } from "./settle_queue.ts";

type Settle = (req: SettleRequest) => Result<SettleResponse, Failure>;

const REPLICA: PeerReplica = {
  instance: "i2",
  incarnation: "0b",
  peerIncarnation: "b",
  zone: "z",
  region: "r",
  peerUrl: "",
  leaving: false,
  lastSeenAt: 0,
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
  return Promise.all(entries.map((entry) => queue.send(REPLICA, entry)));
}

function echo(req: SettleRequest): Result<SettleResponse, Failure> {
  const results = req.entries.map((e) =>
    create(LedgerResultSchema, { accepted: true, fingerprint: e.run })
  );
  return ok(create(SettleResponseSchema, { results }));
}

/**
 * A burst of operations starts at once. One call for each would cost both ends
 * more processor time than the operations; a result assigned to the wrong entry
 * would dispatch an operation whose intent was refused.
 */
test("entries of one turn are sent together, each with its own result", async (t) => {
  const { queue, calls } = makeQueue(echo);
  const settled = await send(queue, 600);
  t.deepEqual(calls, [256, 256, 88]);
  const fingerprints = settled.map((s) => s._unsafeUnwrap().result.fingerprint);
  t.deepEqual(fingerprints, settled.map((_, i) => `r.${i}`));
});

/**
 * A replica does not answer, answers incompletely or is another incarnation. An
 * entry without a result must not count as recorded.
 */
const BROKEN: { what: string; settle: Settle; outcome: string }[] = [
  {
    what: "no answer",
    settle: () => fail("peer_unavailable", "cut", { outcome: "unknown" }),
    outcome: "unknown",
  },
  {
    what: "a response without results",
    settle: () => ok(create(SettleResponseSchema, {})),
    outcome: "unknown",
  },
  {
    what: "a response of another incarnation",
    settle: () => ok(create(SettleResponseSchema, { gone: true })),
    outcome: "not-run",
  },
];

for (const { what, settle, outcome } of BROKEN) {
  test(`a replica gives ${what}`, async (t) => {
    const { queue } = makeQueue(settle);
    const settled = await send(queue, 2);
    t.deepEqual(
      settled.map((s) => s._unsafeUnwrapErr().outcome),
      [outcome, outcome],
    );
  });
}
