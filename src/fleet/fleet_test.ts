import test from "ava";
import { Buffer } from "node:buffer";
import type { AccountId, EndpointId, RegionId } from "../core/mod.ts";
import {
  callerAddresses,
  decodeJsonDigest,
  encodeJsonDigest,
  PeerTable,
} from "./mod.ts";
import { digest, profile } from "./testing/digest_fixtures.ts";

/** A table that writes down what it tells. */
function table(assumed = 1) {
  const events: string[] = [];
  const own = profile("i0");
  const peers = new PeerTable(own, assumed, {
    reported: (d) => events.push(`told ${d.profile.id}`),
    suspect: (p) => events.push(`suspect ${p.profile.id}`),
    unreachable: (p) => events.push(`unreachable ${p.profile.id}`),
    removed: (p) => events.push(`removed ${p.profile.id}`),
  });
  return { peers, events };
}

test("a digest is read as it was written", (t) => {
  const sent = digest("i1", {
    uses: new Map([["a1" as AccountId, { perS: 2.5, admitted: 9, level: -3 }]]),
    inFlight: new Map([["e1" as EndpointId, 4]]),
    changes: new Map([["plans", 12]]),
    otherProfiles: [profile("i2")],
  });
  t.deepEqual(decodeJsonDigest(encodeJsonDigest(sent))._unsafeUnwrap(), sent);
});

const HOSTILE: readonly [string, string][] = [
  ["not JSON", "{"],
  ["null", "null"],
  ["a list", "[]"],
  ["no profile", `{"s":"serving","b":"x","n":1,"v":1,"d":{},"f":{},"o":[]}`],
  [
    "a profile of numbers",
    `{"p":[1,2,3,4,5],"s":"serving","b":"x","n":1,"v":1,"d":{},"f":{},"o":[]}`,
  ],
  [
    "a state that is not known",
    `{"p":["a","b","c","d","e"],"s":"?","b":"x","n":1,"v":1,"d":{},"f":{},"o":[]}`,
  ],
];

for (const [name, text] of HOSTILE) {
  test(`a datagram that is ${name} is no digest`, (t) => {
    // Anything can reach an open port. It must neither end the process nor
    // change what the instance believes.
    t.true(decodeJsonDigest(Buffer.from(text)).isErr());
  });
}

test("numbers that make no sense are left out of a digest", (t) => {
  const text = JSON.stringify({
    p: ["a", "b", "c", "d", "e"],
    s: "serving",
    b: "x",
    n: 1,
    v: 1,
    d: { a1: [-1, 0, 0], a2: "many", a3: [1, 2, 3] },
    f: { e1: -4, e2: "2", e3: 5 },
    o: [["short"]],
  });
  const read = decodeJsonDigest(Buffer.from(text))._unsafeUnwrap();
  t.deepEqual([...read.uses.keys()], ["a3"]);
  t.deepEqual([...read.inFlight], [["e3", 5]]);
  t.deepEqual(read.otherProfiles, []);
});

test("an instance that is not heard turns suspect, then unreachable, then removed", (t) => {
  const { peers, events } = table();
  peers.heard(digest("i1"), 0);
  for (const now of [300, 500, 1_600, 61_000]) peers.tick(now);
  t.deepEqual(events, [
    "told i1",
    "suspect i1",
    "unreachable i1",
    "removed i1",
  ]);
  t.is(peers.fleetSize, 1);
});

test("a digest that comes late does not take back what a newer one told", (t) => {
  // Datagrams overtake each other. An instance that leaves would be handed out
  // to callers again.
  const { peers, events } = table();
  peers.heard(digest("i1", { seq: 5, state: "leaving" }), 0);
  peers.heard(digest("i1", { seq: 4 }), 10);
  t.is(peers.serving().length, 0);
  t.is(events.length, 1);
  peers.heard(digest("i1", { seq: 1, start: "s2" }), 20);
  t.is(peers.serving().length, 1);
});

test("until the list is read the fleet counts as large as it may be", (t) => {
  // An instance that starts while the store is away and thinks it is alone
  // would take the whole rate of every account.
  const { peers } = table(12);
  peers.heard(digest("i1"), 0);
  t.is(peers.fleetSize, 12);
  peers.listed([profile("i1"), profile("i2")], 0);
  t.is(peers.fleetSize, 3);
});

test("instances are learned from the digests of others", (t) => {
  const { peers } = table();
  peers.heard(
    digest("i1", { otherProfiles: [profile("i2"), profile("i0")] }),
    0,
  );
  t.deepEqual(peers.peers().map((p) => p.profile.id).sort(), ["i1", "i2"]);
});

test("callers are sent to instances of their region that take callers", (t) => {
  const { peers } = table();
  const own = { profile: profile("i0"), state: "serving" as const };
  peers.heard(digest("i1"), 0);
  peers.heard(digest("i2", { state: "leaving" }), 0);
  peers.heard(digest("i3", { profile: profile("i3", "delta") }), 0);
  const ask = (name: string) => {
    const serving = peers.serving().map((p) => p.profile);
    return callerAddresses(serving, own, name as RegionId);
  };
  t.deepEqual(ask("gulf"), ["i0:80", "i1:80"]);
  t.deepEqual(ask("delta"), ["i3:80"]);
  const all = ["i0:80", "i1:80", "i3:80"];
  t.deepEqual(ask("piedmont"), all);
  peers.tick(2_000);
  t.deepEqual(ask("delta"), ["i0:80"]);
});
