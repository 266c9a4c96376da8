import test from "ava";
import * as fc from "fast-check";
import { type AccountId, type EndpointId, hash } from "../core/mod.ts";
import {
  decodeAggregate,
  decodeZoneDigest,
  encodeAggregate,
  encodeZoneDigest,
  type FleetAggregate,
  NameDictionary,
  type ZoneDigest,
} from "./mod.ts";
import { profile } from "./testing/digest_fixtures.ts";

function dictionaryOf(...names: string[]): NameDictionary {
  const dictionary = new NameDictionary();
  for (const name of names) dictionary.add(name);
  return dictionary;
}

const SUMS = {
  start: "8f14e45f",
  seq: 41,
  storeInTouch: true,
  storeContactMs: 75_000,
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

const DICTIONARY = dictionaryOf("plans", "a1", "e1", "e2");
/** Receiver state without instance profiles. */
const RECEIVER = { dictionary: DICTIONARY, profileOf: () => undefined };

test("an aggregate decodes to what was encoded", (t) => {
  for (const farServing of [undefined, [], [hash("i3")]]) {
    const sent = aggregate({ farServing });
    const read = decodeAggregate(encodeAggregate(sent, DICTIONARY), DICTIONARY);
    t.deepEqual(read._unsafeUnwrap(), sent);
  }
});

test("a zone's digest decodes to what was encoded", (t) => {
  const sent = zoneDigest();
  const bytes = encodeZoneDigest(sent, {
    dictionary: DICTIONARY,
    includeProfiles: true,
  });
  t.deepEqual(decodeZoneDigest(bytes, RECEIVER)._unsafeUnwrap(), sent);
});

// Guards against members without an address and against losing known ones.
test("members sent without profiles are resolved by their hash", (t) => {
  const sent = zoneDigest();
  const bytes = encodeZoneDigest(sent, {
    dictionary: DICTIONARY,
    includeProfiles: false,
  });
  const first = profile("i1");
  const profileOf = (key: number) => key === hash("i1") ? first : undefined;
  const read = decodeZoneDigest(bytes, { dictionary: DICTIONARY, profileOf });
  const [known] = sent.members;
  t.deepEqual(read._unsafeUnwrap().members, known === undefined ? [] : [known]);
});

// Guards against rounding that lets part of a reserved share be spent twice.
test("a reserved share does not shrink in transit", (t) => {
  fc.assert(
    fc.property(fc.double({ min: 0, max: 1, noNaN: true }), (share) => {
      const shares = new Map([["a1" as AccountId, share]]);
      const sent = aggregate({ reserved: { shares, instances: 1 } });
      const read = decodeAggregate(
        encodeAggregate(sent, DICTIONARY),
        DICTIONARY,
      )
        ._unsafeUnwrap();
      return (read.reserved.shares.get("a1" as AccountId) ?? -1) >= share;
    }),
    { seed: 3 },
  );
  t.pass();
});

// Guards against failing on accounts that the receiver does not have yet.
test("rows with names that the receiver does not know are ignored", (t) => {
  const bytes = encodeAggregate(aggregate(), DICTIONARY);
  const read = decodeAggregate(bytes, new NameDictionary())._unsafeUnwrap();
  t.is(read.uses.size, 0);
  t.is(read.inFlight.size, 0);
  t.is(read.members.length, 1);
});

// Guards against arbitrary datagrams, which an open port can receive.
test("truncated or random datagrams do not throw, and empty ones are rejected", (t) => {
  const whole = encodeAggregate(aggregate(), DICTIONARY);
  for (let length = 0; length < whole.length; length++) {
    decodeAggregate(whole.subarray(0, length), DICTIONARY);
    decodeZoneDigest(whole.subarray(0, length), RECEIVER);
  }
  fc.assert(
    fc.property(fc.uint8Array({ maxLength: 200 }), (bytes) => {
      decodeAggregate(bytes, DICTIONARY);
      decodeZoneDigest(bytes, RECEIVER);
    }),
    { seed: 4, numRuns: 500 },
  );
  t.true(decodeAggregate(new Uint8Array(), DICTIONARY).isErr());
  t.true(decodeZoneDigest(new Uint8Array(), RECEIVER).isErr());
});

// Guards against reserves that other instances take for plainly serving ones,
// and against the flag of the same number.
test("reserves survive encoding and decoding", (t) => {
  const dictionary = dictionaryOf("plans", "a1", "e1", "e2");
  const member = {
    ...aggregate().members[0]!,
    isReserve: true,
    utilization: 0.07,
    linkClass: 20,
  };
  for (const upToDate of [true, false]) {
    const sent = aggregate({
      members: [{ ...member, upToDate }],
      farReserves: [hash("i3")],
    });
    const received = decodeAggregate(
      encodeAggregate(sent, dictionary),
      dictionary,
    );
    t.deepEqual(received._unsafeUnwrap(), sent);
  }
  const members = [
    { profile: profile("i1"), state: "serving" as const },
    { profile: profile("i2"), state: "serving" as const, isReserve: true },
  ];
  const bytes = encodeZoneDigest(zoneDigest({ members }), {
    dictionary,
    includeProfiles: true,
  });
  const read = decodeZoneDigest(bytes, {
    dictionary,
    profileOf: () => undefined,
  });
  t.deepEqual(read._unsafeUnwrap().members, members);
});
