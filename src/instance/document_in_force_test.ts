import test from "ava";
import { create } from "@bufbuild/protobuf";
import { ok } from "neverthrow";
import {
  fail,
  type FailureCode,
  ManualClock,
  SeededRandom,
  SilentLog,
} from "../core/mod.ts";
import {
  type AcceptedDocument,
  canonicalJson,
  contentKey,
  ContentStore,
  DocumentStore,
  MANIFEST_KEY,
  type SectionName,
  sha256,
} from "../document/mod.ts";
import { KeyRing } from "../gateway/mod.ts";
import { BatchSchema, SenderSchema } from "../gen/peer_pb.ts";
import type { DocumentTransport } from "../peers/mod.ts";
import { MemoryPlatform, type Platform } from "../store/mod.ts";
import { FaultyPlatform } from "../store/testing/mod.ts";
import { DocumentFollower } from "./document_follower.ts";
import { DocumentSource } from "./document_source.ts";
import { PlatformContact } from "./platform_contact.ts";

const SETTLE_TURNS = 100;
const PEER = create(SenderSchema, { instance: "p", peerUrl: "peer:1" });

async function settle(): Promise<void> {
  for (let i = 0; i < SETTLE_TURNS; i++) await Promise.resolve();
}

/** A follower whose only peer is `peer`. */
function followerOf(
  platform: Platform,
  { clock, peer }: { clock: ManualClock; peer?: () => DocumentFollower },
) {
  const contents = new ContentStore(platform);
  const contact = new PlatformContact(clock);
  const transport: DocumentTransport = {
    fetchManifest: () =>
      Promise.resolve(
        peer ? ok(peer().fetchManifest()) : fail("peer_unavailable", "none"),
      ),
    fetchContent: (_url, digest) =>
      Promise.resolve(
        peer
          ? ok(peer().fetchContent(digest))
          : fail("peer_unavailable", "none"),
      ),
  };
  const source = new DocumentSource({
    platform,
    contents,
    transport,
    contact,
    clock,
  });
  const accepted: AcceptedDocument[] = [];
  const follower = new DocumentFollower({
    source,
    contents,
    clock,
    random: new SeededRandom(1),
    log: new SilentLog(),
    watches: () => true,
    onDocument: (d) => accepted.push(d),
  });
  return { follower, accepted, contact };
}

function setup() {
  const clock = new ManualClock();
  const truth = new MemoryPlatform(clock);
  const editor = new DocumentStore({
    platform: truth,
    clock,
    random: new SeededRandom(2),
  });
  const change = async (name: string, value: unknown) => {
    const sections = new Map([[name as SectionName, value]]);
    (await editor.apply({ author: "t", sections }))._unsafeUnwrap();
  };
  return { clock, truth, change };
}

/** Writes a manifest as a newer program would, past this one's checks. */
async function writeRaw(
  platform: MemoryPlatform,
  generation: number,
  contents: Record<string, unknown>,
): Promise<void> {
  const sections: Record<string, unknown> = {};
  for (const [name, value] of Object.entries(contents)) {
    const text = canonicalJson(value);
    await platform.put(contentKey(sha256(text)), text, { ifAbsent: true });
    sections[name] = {
      version: generation,
      sha256: sha256(text),
      author: "newer",
      changed_at: 0,
    };
  }
  const now = (await platform.get(MANIFEST_KEY))._unsafeUnwrap();
  const text = JSON.stringify({ generation, write_id: "w", sections });
  await platform.put(
    MANIFEST_KEY,
    text,
    now?.version ? { ifVersion: now.version } : { ifAbsent: true },
  );
}

function tell(follower: DocumentFollower, generation: number): void {
  const batch = create(BatchSchema, { generation: BigInt(generation) });
  follower.receive(batch, PEER);
}

test("an instance without the store takes a newer document from a peer", async (t) => {
  // The store goes down for one zone only. A key withdrawn meanwhile must stop
  // working there too, so the zone's instances ask a peer elsewhere.
  const { clock, truth, change } = setup();
  await change("accounts", { accounts: { a1: {} } });
  const peer = followerOf(truth, { clock });
  await peer.follower.start();
  const faulty = new FaultyPlatform(truth, clock);
  const here = followerOf(faulty, { clock, peer: () => peer.follower });
  await here.follower.start();
  faulty.faults.down = true;
  await change("accounts", { accounts: { a2: {} } });
  await settle();
  t.is(peer.follower.generation, 2);
  tell(here.follower, 2);
  await settle();
  t.deepEqual(here.accepted.map((d) => d.manifest.generation), [1, 2]);
  t.deepEqual(Object.keys(here.accepted[1]!.document.accounts), ["a2"]);
  peer.follower.close();
  here.follower.close();
});

test("a content that is not what its digest names is not taken", async (t) => {
  // A peer's answer is cut short or mixed up. Adopted, it would put a document
  // in force that no operator wrote.
  const { clock, truth, change } = setup();
  await change("accounts", { accounts: { a1: {} } });
  const peer = followerOf(truth, { clock });
  await peer.follower.start();
  const wrong = Object.create(peer.follower) as DocumentFollower;
  wrong.fetchManifest = () => peer.follower.fetchManifest();
  wrong.fetchContent = () => ({
    ...peer.follower.fetchContent(""),
    found: true,
    content: canonicalJson({ accounts: { intruder: {} } }),
  });
  const faulty = new FaultyPlatform(truth, clock);
  faulty.faults.down = true;
  const here = followerOf(faulty, { clock, peer: () => wrong });
  await here.follower.start();
  tell(here.follower, 1);
  await settle();
  t.deepEqual(here.accepted, []);
  peer.follower.close();
  here.follower.close();
});

test("a section that cannot be used keeps its last good content and holds nothing back", async (t) => {
  // One team publishes with a newer program; another withdraws a key in the
  // same minute. The key must stop working, the drains stay as they were.
  const { clock, truth, change } = setup();
  await change("accounts", { accounts: { a1: {}, a2: {} } });
  await change("drains", { drains: [{ kind: "instance", id: "i1" }] });
  const { follower, accepted } = followerOf(truth, { clock });
  await follower.start();
  await writeRaw(truth, 3, {
    accounts: { accounts: { a2: {} } },
    drains: { drains: [{ kind: "planet", id: "earth" }] },
    novelties: { any: 1 },
  });
  await settle();
  t.is(follower.generation, 3);
  const now = accepted.at(-1)!.document;
  t.deepEqual(Object.keys(now.accounts), ["a2"]);
  t.deepEqual(now.drains.map((d) => d.id as string), ["i1"]);
  t.deepEqual(follower.rejected.map((f) => f.path[0]), ["drains", "novelties"]);
  follower.close();
});

test("a document that does not fit together never takes effect and blocks nothing", async (t) => {
  // A rate names an account that no section has. The last good document stays
  // in force, status says why, and the next good one is adopted.
  const { clock, truth, change } = setup();
  await change("accounts", { accounts: { a1: {} } });
  const { follower, accepted } = followerOf(truth, { clock });
  await follower.start();
  await writeRaw(truth, 2, {
    rates: { rates: { nobody: { rate_per_s: 1, burst: 1 } } },
  });
  await settle();
  t.is(follower.generation, 1);
  t.is(follower.rejected[0]?.code, "bad_document");
  await writeRaw(truth, 3, { accounts: { accounts: { a3: {} } } });
  await settle();
  t.is(follower.generation, 3);
  t.deepEqual(follower.rejected, []);
  t.deepEqual(Object.keys(accepted.at(-1)!.document.accounts), ["a3"]);
  follower.close();
});

const KEY = "k-1";

function ringFor(graceS: number, contact: PlatformContact): KeyRing {
  const ring = new KeyRing(() => contact.ageMs());
  const keys = [{ id: "k1", sha256: sha256(KEY), withdrawn: false }];
  const accounts = { a1: { keys, weight: 1, cut_off_grace_s: graceS } };
  ring.adopt({ accounts } as unknown as AcceptedDocument["document"]);
  return ring;
}

const CUT_OFF: { graceS: number; awayS: number; code?: FailureCode }[] = [
  { graceS: 60, awayS: 59 },
  { graceS: 60, awayS: 61, code: "cut_off" },
  { graceS: 0, awayS: 5 },
  { graceS: 0, awayS: 16, code: "cut_off" },
];

for (const { graceS, awayS, code } of CUT_OFF) {
  test(`grace ${graceS} s, cut off for ${awayS} s: ${code ?? "served"}`, (t) => {
    // A cut-off zone cannot learn that a key was withdrawn, so it takes the
    // key only as long as the account's grace lasts.
    const clock = new ManualClock();
    const contact = new PlatformContact(clock);
    contact.note(clock.now());
    clock.advance(awayS * 1_000);
    const found = ringFor(graceS, contact).accountOf(`Bearer ${KEY}`);
    t.is(found.isErr() ? found.error.code : undefined, code);
    if (found.isErr()) t.is(found.error.outcome, "not-run");
  });
}

test("contact through peers grows old, and late or fresh peers make it no younger", (t) => {
  // A and B are cut off together and tell each other how old their contact is;
  // a new instance C joins them. None of this is contact with the platform.
  const clock = new ManualClock();
  const [a, b, c] = [0, 1, 2].map(() => new PlatformContact(clock));
  a!.note(clock.now());
  const told = (from: PlatformContact) => {
    const batch = create(BatchSchema);
    from.fill(batch);
    return batch;
  };
  const late = told(a!);
  for (let i = 0; i < 60; i++) {
    clock.advance(1_000);
    b!.receive(told(a!), PEER, clock.now());
    a!.receive(told(c!), PEER, clock.now());
    a!.receive(told(b!), PEER, clock.now());
  }
  a!.receive(late, PEER);
  t.is(a!.ageMs(), 60_000);
  t.is(b!.ageMs(), 60_000);
  t.is(c!.ageMs(), Infinity);
});
