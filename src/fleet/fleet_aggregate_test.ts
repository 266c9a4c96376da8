import test from "ava";
import * as fc from "fast-check";
import { type AccountId, type EndpointId, hash } from "../core/mod.ts";
import {
  decodeAggregate,
  decodeZoneDigest,
  encodeAggregate,
  encodeZoneDigest,
  type FleetAggregate,
  NameBook,
  type ZoneDigest,
} from "./mod.ts";
import { profile } from "./testing/digest_fixtures.ts";

function bookOf(...names: string[]): NameBook {
  const book = new NameBook();
  for (const name of names) book.learn(name);
  return book;
}

const SUMS = {
  start: "8f14e45f",
  seq: 41,
  storeInTouch: true,
  changes: new Map([["plans", 9]]),
  instances: 21,
  uses: new Map([["a1" as AccountId, { perS: 2.5, admitted: 9, level: -3 }]]),
  inFlight: new Map([["e1" as EndpointId, 4]]),
  limits: new Map([
    ["e1" as EndpointId, { ratePerS: 6.6, ageMs: 120 }],
    ["e2" as EndpointId, { ratePerS: undefined, ageMs: 0 }],
  ]),
  reserved: {
    shares: new Map([["a1" as AccountId, 0.25]]),
    instances: 2,
  },
};

function aggregate(opts: Partial<FleetAggregate> = {}): FleetAggregate {
  return {
    ...SUMS,
    relay: profile("i1"),
    members: [{
      idHash: hash("i2"),
      startHash: hash("s1"),
      seq: 7,
      state: "leaving",
      isStoreWatcher: true,
      storeInTouch: false,
      relays: true,
      upToDate: true,
      capacity: 1.35,
    }],
    farServing: [hash("i3")],
    profiles: [profile("i3")],
    ...opts,
  };
}

function zoneDigest(opts: Partial<ZoneDigest> = {}): ZoneDigest {
  const { id, zone, region } = profile("i1");
  return {
    ...SUMS,
    zone,
    region,
    relay: id,
    members: [
      { profile: profile("i1"), state: "serving" },
      { profile: profile("i2"), state: "leaving" },
    ],
    ...opts,
  };
}

const BOOK = bookOf("plans", "a1", "e1", "e2");
/** A reader that knows no instance. */
const NAMES = { book: BOOK, profileOf: () => undefined };

test("an aggregate is read as it was written", (t) => {
  for (const farServing of [undefined, [], [hash("i3")]]) {
    const sent = aggregate({ farServing });
    const read = decodeAggregate(encodeAggregate(sent, BOOK), BOOK);
    t.deepEqual(read._unsafeUnwrap(), sent);
  }
});

test("a zone's digest is read as it was written", (t) => {
  const sent = zoneDigest();
  const bytes = encodeZoneDigest(sent, { book: BOOK, introduces: true });
  t.deepEqual(decodeZoneDigest(bytes, NAMES)._unsafeUnwrap(), sent);
});

// Guards against members without an address, and lists without those known.
test("members that were not introduced are found by their hash", (t) => {
  const sent = zoneDigest();
  const bytes = encodeZoneDigest(sent, { book: BOOK, introduces: false });
  const first = profile("i1");
  const profileOf = (key: number) => key === hash("i1") ? first : undefined;
  const read = decodeZoneDigest(bytes, { book: BOOK, profileOf });
  const [known] = sent.members;
  t.deepEqual(read._unsafeUnwrap().members, known === undefined ? [] : [known]);
});

// Guards against a second spending of what was rounded away on the way.
test("what is set aside does not shrink on the way", (t) => {
  fc.assert(
    fc.property(fc.double({ min: 0, max: 1, noNaN: true }), (share) => {
      const shares = new Map([["a1" as AccountId, share]]);
      const sent = aggregate({ reserved: { shares, instances: 1 } });
      const read = decodeAggregate(encodeAggregate(sent, BOOK), BOOK)
        ._unsafeUnwrap();
      return (read.reserved.shares.get("a1" as AccountId) ?? -1) >= share;
    }),
    { seed: 3 },
  );
  t.pass();
});

// Guards against rows of accounts that one instance does not know yet.
test("names that a reader does not know are passed over", (t) => {
  const bytes = encodeAggregate(aggregate(), BOOK);
  const read = decodeAggregate(bytes, new NameBook())._unsafeUnwrap();
  t.is(read.uses.size, 0);
  t.is(read.inFlight.size, 0);
  t.is(read.members.length, 1);
});

// Guards against anything that reaches an open port.
test("bytes that are cut or random are refused and end nothing", (t) => {
  const whole = encodeAggregate(aggregate(), BOOK);
  for (let length = 0; length < whole.length; length++) {
    decodeAggregate(whole.subarray(0, length), BOOK);
    decodeZoneDigest(whole.subarray(0, length), NAMES);
  }
  fc.assert(
    fc.property(fc.uint8Array({ maxLength: 200 }), (bytes) => {
      decodeAggregate(bytes, BOOK);
      decodeZoneDigest(bytes, NAMES);
    }),
    { seed: 4, numRuns: 500 },
  );
  t.true(decodeAggregate(new Uint8Array(), BOOK).isErr());
  t.true(decodeZoneDigest(new Uint8Array(), NAMES).isErr());
});
