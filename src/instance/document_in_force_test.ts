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
import { ApiKeyTable } from "../gateway/mod.ts";
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

/** Creates a follower whose only peer is `peer`. */
function createFollower(
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
  const store = new MemoryPlatform(clock);
  const editor = new DocumentStore({
    platform: store,
    clock,
    random: new SeededRandom(2),
  });
  const change = async (name: string, value: unknown) => {
    const sections = new Map([[name as SectionName, value]]);
    (await editor.apply({ author: "t", sections }))._unsafeUnwrap();
  };
  return { clock, store, change };
}

/** Writes a manifest as a newer version would, bypassing this version's checks. */
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

function reportGeneration(
  follower: DocumentFollower,
  generation: number,
): void {
  const batch = create(BatchSchema, { generation: BigInt(generation) });
  follower.receive(batch, PEER);
}

test("an instance that cannot reach the store adopts a newer document from a peer", async (t) => {
  // The store is down for one zone only. A key withdrawn meanwhile must stop
  // working there too, so the zone's instances fetch from a peer in another zone.
  const { clock, store, change } = setup();
  await change("accounts", { accounts: { a1: {} } });
  const peer = createFollower(store, { clock });
  await peer.follower.start();
  const faulty = new FaultyPlatform(store, clock);
  const here = createFollower(faulty, { clock, peer: () => peer.follower });
  await here.follower.start();
  faulty.faults.down = true;
  await change("accounts", { accounts: { a2: {} } });
  await settle();
  t.is(peer.follower.generation, 2);
  reportGeneration(here.follower, 2);
  await settle();
  t.deepEqual(here.accepted.map((d) => d.manifest.generation), [1, 2]);
  t.deepEqual(Object.keys(here.accepted[1]!.document.accounts), ["a2"]);
  peer.follower.close();
  here.follower.close();
});

test("content that does not match its digest is rejected", async (t) => {
  // A peer's response is truncated or mixed up. Adopting it would put a document
  // in force that no operator wrote.
  const { clock, store, change } = setup();
  await change("accounts", { accounts: { a1: {} } });
  const peer = createFollower(store, { clock });
  await peer.follower.start();
  const wrong = Object.create(peer.follower) as DocumentFollower;
  wrong.fetchManifest = () => peer.follower.fetchManifest();
  wrong.fetchContent = () => ({
    ...peer.follower.fetchContent(""),
    found: true,
    content: canonicalJson({ accounts: { intruder: {} } }),
  });
  const faulty = new FaultyPlatform(store, clock);
  faulty.faults.down = true;
  const here = createFollower(faulty, { clock, peer: () => wrong });
  await here.follower.start();
  reportGeneration(here.follower, 1);
  await settle();
  t.deepEqual(here.accepted, []);
  peer.follower.close();
  here.follower.close();
});

test("an invalid section keeps its last valid content and does not block the others", async (t) => {
  // One team publishes a section with a newer version while another withdraws a
  // key. The key must stop working, and the drains must not change.
  const { clock, store, change } = setup();
  await change("accounts", { accounts: { a1: {}, a2: {} } });
  await change("drains", { drains: [{ kind: "instance", id: "i1" }] });
  const { follower, accepted } = createFollower(store, { clock });
  await follower.start();
  await writeRaw(store, 3, {
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

test("an inconsistent document never takes effect and does not block later ones", async (t) => {
  // A rate names an account that no section defines. The last valid document
  // stays in force, the status reports why, and the next valid one is adopted.
  const { clock, store, change } = setup();
  await change("accounts", { accounts: { a1: {} } });
  const { follower, accepted } = createFollower(store, { clock });
  await follower.start();
  await writeRaw(store, 2, {
    rates: { rates: { nobody: { rate_per_s: 1, burst: 1 } } },
  });
  await settle();
  t.is(follower.generation, 1);
  t.is(follower.rejected[0]?.code, "bad_document");
  await writeRaw(store, 3, { accounts: { accounts: { a3: {} } } });
  await settle();
  t.is(follower.generation, 3);
  t.deepEqual(follower.rejected, []);
  t.deepEqual(Object.keys(accepted.at(-1)!.document.accounts), ["a3"]);
  follower.close();
});

const KEY = "k-1";

function createKeyRing(graceS: number, contact: PlatformContact): ApiKeyTable {
  const ring = new ApiKeyTable(() => contact.ageMs());
  const keys = [{ id: "k1", sha256: sha256(KEY), withdrawn: false }];
  const accounts = { a1: { keys, weight: 1, cut_off_grace_s: graceS } };
  ring.adopt({ accounts } as unknown as AcceptedDocument["document"]);
  return ring;
}

const CUT_OFF_CASES: { graceS: number; awayS: number; code?: FailureCode }[] = [
  { graceS: 60, awayS: 59 },
  { graceS: 60, awayS: 61, code: "cut_off" },
  { graceS: 0, awayS: 5 },
  { graceS: 0, awayS: 16, code: "cut_off" },
];

for (const { graceS, awayS, code } of CUT_OFF_CASES) {
  test(`grace ${graceS} s, cut off for ${awayS} s: ${code ?? "served"}`, (t) => {
    // A partitioned zone cannot learn that a key was withdrawn, so it accepts
    // the key only during the account's grace period.
    const clock = new ManualClock();
    const contact = new PlatformContact(clock);
    contact.record(clock.now());
    clock.advance(awayS * 1_000);
    const found = createKeyRing(graceS, contact).accountOf(`Bearer ${KEY}`);
    t.is(found.isErr() ? found.error.code : undefined, code);
    if (found.isErr()) t.is(found.error.outcome, "not-run");
  });
}

test("the contact age grows without the platform, whatever delayed or new peers report", (t) => {
  // A and B are partitioned together and exchange their contact ages; a new
  // instance C joins them. None of this is contact with the platform.
  const clock = new ManualClock();
  const [a, b, c] = [0, 1, 2].map(() => new PlatformContact(clock));
  a!.record(clock.now());
  const batchFrom = (from: PlatformContact) => {
    const batch = create(BatchSchema);
    from.fill(batch);
    return batch;
  };
  const delayed = batchFrom(a!);
  for (let i = 0; i < 60; i++) {
    clock.advance(1_000);
    b!.receive(batchFrom(a!), PEER, clock.now());
    a!.receive(batchFrom(c!), PEER, clock.now());
    a!.receive(batchFrom(b!), PEER, clock.now());
  }
  a!.receive(delayed, PEER);
  t.is(a!.ageMs(), 60_000);
  t.is(b!.ageMs(), 60_000);
  t.is(c!.ageMs(), Infinity);
});
