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

/** A peer table and a record of its events. */
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

test("an encoded digest is decoded unchanged", (t) => {
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
  test(`a datagram that is ${name} is rejected as a digest`, (t) => {
    // Any host can send to an open port. An invalid datagram must neither crash
    // the process nor change its state.
    t.true(decodeJsonDigest(Buffer.from(text)).isErr());
  });
}

test("invalid numbers and rows in a digest are skipped", (t) => {
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

test("a silent instance becomes suspect, then unreachable, then is removed", (t) => {
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

test("a late digest does not overwrite a newer one", (t) => {
  // Datagrams can be reordered. Callers would again be sent to an instance that
  // is leaving.
  const { peers, events } = table();
  peers.heard(digest("i1", { seq: 5, state: "leaving" }), 0);
  peers.heard(digest("i1", { seq: 4 }), 10);
  t.is(peers.serving().length, 0);
  t.is(events.length, 1);
  peers.heard(digest("i1", { seq: 1, start: "s2" }), 20);
  t.is(peers.serving().length, 1);
});

test("until the instance list is read the assumed fleet size applies", (t) => {
  // An instance that starts during a store outage and counts only itself would
  // use the whole rate of every account.
  const { peers } = table(12);
  peers.heard(digest("i1"), 0);
  t.is(peers.fleetSize, 12);
  peers.onInstanceList([profile("i1"), profile("i2")], 0);
  t.is(peers.fleetSize, 3);
});

test("instances listed in digests are added", (t) => {
  const { peers } = table();
  peers.heard(
    digest("i1", { otherProfiles: [profile("i2"), profile("i0")] }),
    0,
  );
  t.deepEqual(peers.peers().map((p) => p.profile.id).sort(), ["i1", "i2"]);
});

test("callers get the serving instances of their region", (t) => {
  const { peers } = table();
  const own = { profile: profile("i0"), state: "serving" as const };
  peers.heard(digest("i1"), 0);
  peers.heard(digest("i2", { state: "leaving" }), 0);
  peers.heard(digest("i3", { profile: profile("i3", "delta") }), 0);
  const addressesFor = (name: string) => {
    const serving = peers.serving().map((p) => p.profile);
    const others = { serving, isolated: [] };
    return callerAddresses(others, own, name as RegionId);
  };
  t.deepEqual(addressesFor("gulf"), ["i0:80", "i1:80"]);
  t.deepEqual(addressesFor("delta"), ["i3:80"]);
  const all = ["i0:80", "i1:80", "i3:80"];
  t.deepEqual(addressesFor("piedmont"), all);
  peers.tick(2_000);
  t.deepEqual(addressesFor("delta"), ["i0:80"]);
});
