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
  decodeCompact,
  type Digest,
  encodeCompact,
  encodeDigest,
  type InstanceProfile,
  NameBook,
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

/** A reader that knows the sender and these names. */
function reader(...names: string[]) {
  const book = new NameBook();
  for (const name of names) book.learn(name);
  const profileOf = (key: number) => key === hash("i1") ? KNOWN : undefined;
  return { book, profileOf };
}

/** A digest that does not introduce its sender. */
function write(sent: Digest, { book }: { book: NameBook }): Uint8Array {
  return encodeCompact(sent, { book, introduces: false });
}

const STRANGER = { book: new NameBook(), profileOf: () => undefined };

test("a digest is read as it was written", (t) => {
  const sent = digest({
    uses: new Map([["a1" as AccountId, { perS: 2.5, admitted: 9, level: -3 }]]),
    inFlight: new Map([["e1" as EndpointId, 4]]),
    changes: new Map([["plans", 12]]),
  });
  const names = reader("a1", "e1", "plans");
  const read = decodeCompact(write(sent, names), names);
  t.deepEqual(read._unsafeUnwrap(), sent);
});

test("any numbers are read as they were written", (t) => {
  const id = fc.string({ minLength: 1, maxLength: 40 });
  const amount = fc.integer({ min: 0, max: 1e9 });
  fc.assert(
    fc.property(
      fc.dictionary(id, amount),
      fc.dictionary(id, amount),
      fc.integer({ min: -1e9, max: 1e9 }),
      (flights, admitted, level) => {
        const inFlight = new Map(Object.entries(flights));
        const uses = new Map(
          Object.entries(admitted).map(([account, n]) => [
            account,
            { perS: n / 10, admitted: n, level: level / 10 },
          ]),
        );
        const sent = digest({ uses, inFlight } as unknown as Partial<Digest>);
        const names = reader(...inFlight.keys(), ...uses.keys());
        const read = decodeCompact(write(sent, names), names)._unsafeUnwrap();
        // Endpoints with as many requests are written together.
        t.deepEqual(Object.fromEntries(read?.inFlight ?? []), flights);
        t.deepEqual(read?.uses, sent.uses);
      },
    ),
    { seed: 1 },
  );
});

test("names that share a hash are written out and not taken for each other", (t) => {
  // Two accounts' names have one hash. Were it sent for both, what one used
  // would count against the other, whose callers would be refused.
  const [a, b] = clashing();
  const sent = digest({
    inFlight: new Map([[a, 1], [b, 2]]) as Map<EndpointId, number>,
  });
  const both = reader(a, b);
  const read = decodeCompact(write(sent, both), both);
  t.deepEqual(read._unsafeUnwrap()?.inFlight, sent.inFlight);
  // A sender that knows but one of them gives its hash, which says nothing to
  // a reader that knows both.
  const one = digest({ inFlight: new Map([[a as EndpointId, 1]]) });
  const vague = decodeCompact(write(one, reader(a)), both);
  t.is(vague._unsafeUnwrap()?.inFlight.size, 0);
});

test("names that a reader does not know are passed over", (t) => {
  // An endpoint that was just registered is known to the sender first.
  const sent = digest({
    inFlight: new Map([["new", 1], ["old", 2]]) as Map<EndpointId, number>,
  });
  const names = reader("old");
  const read = decodeCompact(write(sent, reader("old")), names);
  t.deepEqual([...read._unsafeUnwrap()?.inFlight ?? []], [["old", 2]]);
});

test("a sender that is not known is passed over until it says who it is", (t) => {
  // An instance starts and hears digests before it has read the list. It must
  // not make up a sender, and knows the true one a second later.
  const names = reader();
  const sent = digest({ others: [profile("i2")] });
  const plain = encodeCompact(sent, { ...names, introduces: false });
  t.is(decodeCompact(plain, STRANGER)._unsafeUnwrap(), undefined);
  const whole = encodeCompact(sent, { ...names, introduces: true });
  t.deepEqual(decodeCompact(whole, STRANGER)._unsafeUnwrap(), sent);
});

test("bytes that are no digest change nothing and end nothing", (t) => {
  // Anything can reach an open port.
  const whole = encodeCompact(digest(), { ...STRANGER, introduces: true });
  for (let length = 0; length < whole.length; length++) {
    const read = decodeCompact(whole.subarray(0, length), STRANGER);
    t.true(read.isErr() || read.value === undefined || length > 30);
  }
  fc.assert(
    fc.property(fc.uint8Array({ maxLength: 200 }), (bytes) => {
      decodeCompact(bytes, STRANGER);
    }),
    { seed: 1 },
  );
  t.true(decodeCompact(Buffer.alloc(20_000), STRANGER).isErr());
});

test("a busy instance's digest takes a quarter of its JSON", (t) => {
  // Eight accounts, thirty endpoints at work: what a dozen instances tell each
  // other four times a second, and what links between regions are paid for.
  const names = reader();
  const uses = new Map<
    AccountId,
    { perS: number; admitted: number; level: number }
  >();
  for (let i = 0; i < 8; i++) {
    const id = `vopu52${i}` as AccountId;
    names.book.learn(id);
    uses.set(id, { perS: 12.3 + i, admitted: 1_234 * i, level: 65.4 - i });
  }
  const inFlight = new Map<EndpointId, number>();
  for (let i = 0; i < 30; i++) {
    const id = `i-2925f7ec${i + 10}` as EndpointId;
    names.book.learn(id);
    inFlight.set(id, 1 + i % 4);
  }
  const changes = new Map([["plans", 1_234], ["endpoints", 5_678], [
    "evacuations",
    99,
  ]]);
  for (const kind of changes.keys()) names.book.learn(kind);
  const sent = digest({ uses, inFlight, changes, others: [profile("i2")] });
  // One digest in eight introduces its sender.
  const introduced = encodeCompact(sent, { ...names, introduces: true });
  const compact = (7 * write(sent, names).length + introduced.length) / 8;
  const json = encodeDigest({
    ...sent,
    start: "8f14e45fceea167a",
    others: ["i2", "i3", "i4"].map(profile),
  }).length;
  t.true(compact <= json / 4, `${compact} of ${json} bytes`);
});

/** Two names with one hash. */
function clashing(): [string, string] {
  const seen = new Map<number, string>();
  for (let i = 0;; i++) {
    const name = `account-${i}`;
    const other = seen.get(hash(name));
    if (other !== undefined) return [other, name];
    seen.set(hash(name), name);
  }
}
