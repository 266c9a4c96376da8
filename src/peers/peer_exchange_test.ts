import test from "ava";
import { create } from "@bufbuild/protobuf";
import { err, ok } from "neverthrow";
import { failure, ManualClock, SilentLog } from "../core/mod.ts";
import { BatchSchema, SenderSchema } from "../gen/peer_pb.ts";
import { type ExchangePeer, PeerExchange } from "./peer_exchange.ts";
import type { PeerTransport } from "./transport.ts";

const PEERS: ExchangePeer[] = [
  { instance: "mate", zone: "z1", peerUrl: "mate" },
  { instance: "far", zone: "z2", peerUrl: "far" },
];

function setup(answers: boolean) {
  const sent: string[] = [];
  const answer = create(BatchSchema, { sender: { instance: "x" } });
  const transport = {
    exchange: (url: string) => {
      sent.push(url);
      if (!answers) return new Promise(() => {});
      const lost = err(failure("peer_unavailable", "cut off"));
      return Promise.resolve(url === "far" ? lost : ok(answer));
    },
  } as unknown as PeerTransport;
  const exchange = new PeerExchange({
    transport,
    clock: new ManualClock(),
    log: new SilentLog(),
    self: () => create(SenderSchema, { instance: "self", zone: "z1" }),
    peers: () => PEERS,
  });
  return { sent, exchange };
}

function count(sent: readonly string[], url: string): number {
  return sent.filter((s) => s === url).length;
}

test("zone peers get a batch every tick, other peers every fifth", async (t) => {
  // With batches to all peers every tick, messages grow with the fleet, and
  // idle instances spend a third of a core on them.
  const { sent, exchange } = setup(true);
  for (let tick = 0; tick < 10; tick++) {
    exchange.run();
    await new Promise((resolve) => setImmediate(resolve));
  }
  t.is(count(sent, "mate"), 10);
  t.is(count(sent, "far"), 2);
});

test("no batch is sent to a peer whose answer is outstanding", (t) => {
  // A peer hangs. Otherwise each tick would add a pending call, until sockets
  // run out and no other peer can be reached.
  const { sent, exchange } = setup(false);
  for (let tick = 0; tick < 10; tick++) exchange.run();
  t.is(count(sent, "mate"), 1);
  t.is(count(sent, "far"), 1);
});
