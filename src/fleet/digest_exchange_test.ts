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
  NameDictionary,
  PeerTable,
} from "./mod.ts";
import { digest, profile } from "./testing/digest_fixtures.ts";

const SORT_OF_EARLIER_BUILD = 1;

/** The exchange of instance `i0`, and what it sent by address. */
function exchange() {
  const sent: { address: string; bytes: Buffer }[] = [];
  let take: (bytes: Uint8Array) => void = () => {};
  const datagrams = new Datagrams({
    send: (address, bytes) => sent.push({ address, bytes }),
    onDatagram: (taker) => take = taker,
    close: () => Promise.resolve(),
  }, new SilentLog());
  const heard: InstanceId[] = [];
  const peers = new PeerTable(profile("i0"), 1, {
    reported: ({ profile }) => heard.push(profile.id),
    suspect: () => {},
    unreachable: () => {},
    removed: () => {},
  });
  const exchange = new DigestExchange({
    datagrams,
    peers,
    book: new NameDictionary(),
    clock: new ManualClock(),
    random: new SeededRandom(1),
    seeds: ["seed:70"],
    recipients: () => [],
    compose: (seq) => digest("i0", { seq }),
    reported: () => {},
  });
  return { exchange, sent, heard, take: (bytes: Buffer) => take(bytes) };
}

test("an instance of the previous build is heard, and answered in its format", (t) => {
  // Builds change one instance at a time. One that cannot read what it is told
  // takes the others for gone: it would set their shares of rates aside and
  // send its callers to itself alone.
  const { exchange: subject, sent, heard, take } = exchange();
  subject.tell();
  sent.length = 0;
  const bytes = encodeJsonDigest(digest("old"));
  take(Buffer.concat([Buffer.of(SORT_OF_EARLIER_BUILD), bytes]));
  t.deepEqual(heard, ["old" as InstanceId]);
  t.deepEqual(sent.map((s) => s.address), ["old:70"]);
  const answer = sent[0]?.bytes ?? Buffer.alloc(0);
  t.is(answer[0], SORT_OF_EARLIER_BUILD);
  const read = decodeJsonDigest(answer.subarray(1))._unsafeUnwrap();
  t.is(read.profile.id, "i0" as InstanceId);
});

test("an instance of this build is not answered digest by digest", (t) => {
  // All tell all by themselves; an answer to each would double what is sent.
  const first = exchange();
  const second = exchange();
  first.exchange.tell();
  const reported = first.sent[0]?.bytes ?? Buffer.alloc(0);
  second.take(reported);
  t.deepEqual(second.sent, []);
});
