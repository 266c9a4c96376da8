import test from "ava";
import * as fc from "fast-check";
import { Buffer } from "node:buffer";
import {
  type AccountId,
  type EndpointId,
  hash,
  type InstanceId,
  type RegionId,
  type ZoneId,
} from "../core/mod.ts";
import {
  decodeCompactDigest,
  type Digest,
  encodeCompactDigest,
  encodeJsonDigest,
  INSTANCE_STATES,
  type InstanceProfile,
  NameDictionary,
} from "./mod.ts";
import { digest as digestOf } from "./testing/digest_fixtures.ts";

function profile(id: string): InstanceProfile {
  return {
    id: id as InstanceId,
    zone: "gulf-a" as ZoneId,
    region: "gulf" as RegionId,
    callerAddress: "10.1.0.23:8389",
    digestAddress: "10.1.0.23:7460",
  };
}

const KNOWN = profile("i1");

function digest(opts: Partial<Digest> = {}): Digest {
  const own = {
    profile: KNOWN,
    start: "8f14e45f",
    seq: 41,
    isStoreWatcher: false,
  };
  return digestOf("i1", { ...own, ...opts });
}

/** Receiver state with the sender's profile and these names. */
function receiver(...names: string[]) {
  const dictionary = new NameDictionary();
  for (const name of names) dictionary.add(name);
  const profileOf = (key: number) => key === hash("i1") ? KNOWN : undefined;
  return { dictionary, profileOf };
}

/** Encodes a digest without profiles. */
function encodeWithoutProfiles(
  sent: Digest,
  { dictionary }: {
    dictionary: NameDictionary;
  },
): Uint8Array {
  return encodeCompactDigest(sent, {
    dictionary,
    includeProfiles: false,
  });
}

const NEW_RECEIVER = {
  dictionary: new NameDictionary(),
  profileOf: () => undefined,
};

test("a digest decodes to what was encoded", (t) => {
  const sent = digest({
    uses: new Map([["a1" as AccountId, { perS: 2.5, admitted: 9, level: -3 }]]),
    inFlight: new Map([["e1" as EndpointId, 4]]),
    changes: new Map([["plans", 12]]),
    storeContactMs: 75_000,
  });
  const names = receiver("a1", "e1", "plans");
  const read = decodeCompactDigest(encodeWithoutProfiles(sent, names), names);
  t.deepEqual(read._unsafeUnwrap(), sent);
});

test("every state of an instance survives encoding and decoding", (t) => {
  for (const state of INSTANCE_STATES) {
    for (const flag of [true, false]) {
      const sent = digest({ state, storeInTouch: flag, relays: !flag });
      const at = receiver();
      const read = decodeCompactDigest(encodeWithoutProfiles(sent, at), at);
      const { state: seen, storeInTouch, relays } = read._unsafeUnwrap()!;
      t.deepEqual([seen, storeInTouch, relays], [state, flag, !flag]);
    }
  }
});

test("any counts, rates and names survive encoding and decoding", (t) => {
  const id = fc.string({ minLength: 1, maxLength: 40 });
  const amount = fc.integer({ min: 0, max: 1e9 });
  fc.assert(
    fc.property(
      fc.dictionary(id, amount),
      fc.dictionary(id, amount),
      fc.integer({ min: -1e9, max: 1e9 }),
      (counts, admitted, level) => {
        const inFlight = new Map(Object.entries(counts));
        const uses = new Map(
          Object.entries(admitted).map(([account, n]) => [
            account,
            { perS: n / 10, admitted: n, level: level / 10 },
          ]),
        );
        const sent = digest({ uses, inFlight } as unknown as Partial<Digest>);
        const names = receiver(...inFlight.keys(), ...uses.keys());
        const read = decodeCompactDigest(
          encodeWithoutProfiles(sent, names),
          names,
        )
          ._unsafeUnwrap();
        // Endpoints are grouped by count, so their order may change.
        t.deepEqual(Object.fromEntries(read?.inFlight ?? []), counts);
        t.deepEqual(read?.uses, sent.uses);
      },
    ),
    { seed: 1 },
  );
});

test("names whose hashes collide are sent in full and never confused", (t) => {
  // Guards against usage of one name being counted for another with the same
  // hash, whose requests would then be rejected.
  const [a, b] = collidingNames();
  const sent = digest({
    inFlight: new Map([[a, 1], [b, 2]]) as Map<EndpointId, number>,
  });
  const both = receiver(a, b);
  const read = decodeCompactDigest(encodeWithoutProfiles(sent, both), both);
  t.deepEqual(read._unsafeUnwrap()?.inFlight, sent.inFlight);
  // A sender that has only one of them sends the hash, which is ambiguous to a
  // receiver that has both.
  const one = digest({ inFlight: new Map([[a as EndpointId, 1]]) });
  const ambiguous = decodeCompactDigest(
    encodeWithoutProfiles(one, receiver(a)),
    both,
  );
  t.is(ambiguous._unsafeUnwrap()?.inFlight.size, 0);
});

test("rows with names that the receiver does not know are ignored", (t) => {
  // A newly registered endpoint can reach the sender before the receiver.
  const sent = digest({
    inFlight: new Map([["new", 1], ["old", 2]]) as Map<EndpointId, number>,
  });
  const names = receiver("old");
  const read = decodeCompactDigest(
    encodeWithoutProfiles(sent, receiver("old")),
    names,
  );
  t.deepEqual([...read._unsafeUnwrap()?.inFlight ?? []], [["old", 2]]);
});

test("digests of an unknown sender are ignored until one carries its profile", (t) => {
  // A starting instance receives digests before it has read the instance list.
  // It must not invent a sender; the profile arrives within seconds.
  const names = receiver();
  const sent = digest({ otherProfiles: [profile("i2")] });
  const plain = encodeCompactDigest(sent, { ...names, includeProfiles: false });
  t.is(decodeCompactDigest(plain, NEW_RECEIVER)._unsafeUnwrap(), undefined);
  const whole = encodeCompactDigest(sent, { ...names, includeProfiles: true });
  t.deepEqual(decodeCompactDigest(whole, NEW_RECEIVER)._unsafeUnwrap(), sent);
});

test("truncated or random datagrams do not throw, and oversized ones are rejected", (t) => {
  // An open port can receive arbitrary datagrams.
  const whole = encodeCompactDigest(digest(), {
    ...NEW_RECEIVER,
    includeProfiles: true,
  });
  for (let length = 0; length < whole.length; length++) {
    const read = decodeCompactDigest(whole.subarray(0, length), NEW_RECEIVER);
    t.true(read.isErr() || read.value === undefined || length > 30);
  }
  fc.assert(
    fc.property(fc.uint8Array({ maxLength: 200 }), (bytes) => {
      decodeCompactDigest(bytes, NEW_RECEIVER);
    }),
    { seed: 1 },
  );
  t.true(decodeCompactDigest(Buffer.alloc(20_000), NEW_RECEIVER).isErr());
});

test("a busy instance's digest is at most a quarter of its JSON encoding", (t) => {
  // Eight accounts and thirty busy endpoints. A dozen instances send such
  // digests to each other four times a second, over links billed by the byte.
  const names = receiver();
  const uses = new Map<
    AccountId,
    { perS: number; admitted: number; level: number }
  >();
  for (let i = 0; i < 8; i++) {
    const id = `vopu52${i}` as AccountId;
    names.dictionary.add(id);
    uses.set(id, { perS: 12.3 + i, admitted: 1_234 * i, level: 65.4 - i });
  }
  const inFlight = new Map<EndpointId, number>();
  for (let i = 0; i < 30; i++) {
    const id = `i-2925f7ec${i + 10}` as EndpointId;
    names.dictionary.add(id);
    inFlight.set(id, 1 + i % 4);
  }
  const changes = new Map([["plans", 1_234], ["endpoints", 5_678], [
    "evacuations",
    99,
  ]]);
  for (const kind of changes.keys()) names.dictionary.add(kind);
  const sent = digest({
    uses,
    inFlight,
    changes,
    otherProfiles: [profile("i2")],
  });
  // One digest in eight carries profiles.
  const introduced = encodeCompactDigest(sent, {
    ...names,
    includeProfiles: true,
  });
  const compact =
    (7 * encodeWithoutProfiles(sent, names).length + introduced.length) / 8;
  const json = encodeJsonDigest({
    ...sent,
    start: "8f14e45fceea167a",
    otherProfiles: ["i2", "i3", "i4"].map(profile),
  }).length;
  t.true(compact <= json / 4, `${compact} of ${json} bytes`);
});

/** Two names with the same hash. */
function collidingNames(): [string, string] {
  const seen = new Map<number, string>();
  for (let i = 0;; i++) {
    const name = `account-${i}`;
    const other = seen.get(hash(name));
    if (other !== undefined) return [other, name];
    seen.set(hash(name), name);
  }
}
