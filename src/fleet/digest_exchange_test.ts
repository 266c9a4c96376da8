import test from "ava";
import { Buffer } from "node:buffer";
import {
  type InstanceId,
  ManualClock,
  SeededRandom,
  SilentLog,
} from "../core/mod.ts";
import {
  Datagrams,
  decodeJsonDigest,
  DigestExchange,
  encodeJsonDigest,
  gossipRecipients,
  NameDictionary,
  PeerTable,
} from "./mod.ts";
import { digest, profile } from "./testing/digest_fixtures.ts";

const PREVIOUS_BUILD_TYPE = 1;

/** The exchange of an instance, and the datagrams it sent. */
function exchange(id = "i0") {
  const sent: { address: string; bytes: Buffer }[] = [];
  let take: (bytes: Uint8Array) => void = () => {};
  const datagrams = new Datagrams({
    send: (address, bytes) => sent.push({ address, bytes }),
    onDatagram: (taker) => take = taker,
    close: () => Promise.resolve(),
  }, new SilentLog());
  const heard: InstanceId[] = [];
  const peers = new PeerTable(profile(id), 1, {
    reported: ({ profile }) => heard.push(profile.id),
    suspect: () => {},
    unreachable: () => {},
    removed: () => {},
  });
  const exchange = new DigestExchange({
    datagrams,
    peers,
    dictionary: new NameDictionary(),
    clock: new ManualClock(),
    random: new SeededRandom(1),
    seeds: ["seed:70"],
    recipients: (seq) => gossipRecipients(peers.peers(), seq),
    compose: (seq) => digest(id, { seq }),
    onSent: () => {},
  });
  return { exchange, peers, sent, heard, take: (bytes: Buffer) => take(bytes) };
}

test("a digest of the previous build is accepted and answered in its format", (t) => {
  // During a rolling update an instance that cannot read the others' digests
  // would consider them unreachable, reserve their shares of rates and send its
  // callers only to itself.
  const { exchange: subject, sent, heard, take } = exchange();
  subject.sendNow();
  sent.length = 0;
  const bytes = encodeJsonDigest(digest("old"));
  take(Buffer.concat([Buffer.of(PREVIOUS_BUILD_TYPE), bytes]));
  t.deepEqual(heard, ["old" as InstanceId]);
  t.deepEqual(sent.map((s) => s.address), ["old:70"]);
  const answer = sent[0]?.bytes ?? Buffer.alloc(0);
  t.is(answer[0], PREVIOUS_BUILD_TYPE);
  const read = decodeJsonDigest(answer.subarray(1))._unsafeUnwrap();
  t.is(read.profile.id, "i0" as InstanceId);
});

test("a digest of this build is not answered", (t) => {
  // Each instance sends its own digests; answering each would double the traffic.
  const first = exchange();
  const second = exchange();
  first.exchange.sendNow();
  const reported = first.sent[0]?.bytes ?? Buffer.alloc(0);
  second.take(reported);
  t.deepEqual(second.sent, []);
});

// Guards against a restarted instance that cannot read the list and stays unknown
// to those that know it from the list, since it takes their digests for unreadable.
test("an instance that has not read the list learns of those that know it", (t) => {
  const known = exchange();
  const restarted = exchange("i1");
  known.peers.onInstanceList([profile("i1")], 0);
  // Sent before the other one listens.
  for (let i = 0; i < 4; i++) known.exchange.sendNow();
  known.sent.length = 0;
  for (let i = 0; i < 16; i++) known.exchange.sendNow();
  for (const { address, bytes } of known.sent) {
    if (address === profile("i1").digestAddress) restarted.take(bytes);
  }
  t.deepEqual([...new Set(restarted.heard)], ["i0" as InstanceId]);
});
