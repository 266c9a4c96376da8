import test from "ava";
import { fail, ManualClock, SeededRandom, SilentLog } from "../core/mod.ts";
import {
  ContentStore,
  DocumentStore,
  type SectionName,
} from "../document/mod.ts";
import type { DocumentTransport } from "../peers/mod.ts";
import { MemoryPlatform } from "../store/mod.ts";
import { FaultyPlatform } from "../store/testing/mod.ts";
import { DocumentFollower } from "./document_follower.ts";
import { DocumentSource } from "./document_source.ts";
import { PlatformContact } from "./platform_contact.ts";

const SETTLE_TURNS = 50;

async function settle(): Promise<void> {
  for (let i = 0; i < SETTLE_TURNS; i++) await Promise.resolve();
}

function noPeers(): DocumentTransport {
  const none = () => Promise.resolve(fail<never>("peer_unavailable", "alone"));
  return { fetchManifest: none, fetchContent: none };
}

async function setup() {
  const clock = new ManualClock();
  const truth = new MemoryPlatform(clock);
  const platform = new FaultyPlatform(truth, clock);
  const random = new SeededRandom(1);
  const editor = new DocumentStore({ platform: truth, clock, random });
  const generations: number[] = [];
  const contents = new ContentStore(platform);
  const contact = new PlatformContact(clock);
  const transport = noPeers();
  const deps = { platform, contents, transport, contact, clock };
  const follower = new DocumentFollower({
    source: new DocumentSource(deps),
    contents,
    clock,
    random,
    log: new SilentLog(),
    watches: () => true,
    onDocument: (d) => generations.push(d.manifest.generation),
  });
  const change = () =>
    editor.apply({
      author: "t",
      sections: new Map([["drains" as SectionName, { drains: [] }]]),
    });
  await change();
  await follower.start();
  await settle();
  return { clock, platform, follower, generations, change };
}

test("a watch that repeats itself does not use up the store's rate", async (t) => {
  // The store ends each watch at once although nothing has changed. Without a
  // pause, each instance would ask thousands of times a second.
  const { clock, platform, follower } = await setup();
  platform.faults.watches = "repeated";
  clock.advance(10_000);
  await settle();
  const before = platform.calls.get("watch") ?? 0;
  for (let i = 0; i < 10; i++) {
    clock.advance(100);
    await settle();
  }
  t.true((platform.calls.get("watch") ?? 0) - before <= 5);
  follower.close();
});

test("a stale manifest does not take back what is in force", async (t) => {
  // A read from a copy that is behind shows the generation before. An instance
  // that adopted it would bring withdrawn keys back to life.
  const { clock, platform, follower, generations, change } = await setup();
  await change();
  await settle();
  platform.faults.staleReads = true;
  for (let i = 0; i < 50; i++) {
    clock.advance(1_000);
    await settle();
  }
  t.deepEqual(generations, [1, 2]);
  t.is(follower.generation, 2);
  follower.close();
});

test("a change that no watch tells of comes in force when the wait is over", async (t) => {
  // The watch stays open and silent. Operators would see their edit accepted
  // and nothing happen.
  const { clock, platform, follower, generations, change } = await setup();
  platform.faults.watches = "silent";
  clock.advance(10_000);
  await settle();
  await change();
  for (let i = 0; i < 12; i++) {
    clock.advance(1_000);
    await settle();
  }
  t.deepEqual(generations, [1, 2]);
  follower.close();
});
