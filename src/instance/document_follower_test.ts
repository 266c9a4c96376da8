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
  const store = new MemoryPlatform(clock);
  const platform = new FaultyPlatform(store, clock);
  const random = new SeededRandom(1);
  const editor = new DocumentStore({ platform: store, clock, random });
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

test("watches that end at once do not use up the store's rate", async (t) => {
  // The store ends each watch at once without a change. Without a delay, each
  // instance would send thousands of watches per second.
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

test("a stale manifest does not replace the one in force", async (t) => {
  // A read from a lagging replica returns the previous generation. Adopting it
  // would make withdrawn keys valid again.
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

test("a change that the watch does not report takes effect after the watch times out", async (t) => {
  // The watch stays open and never responds. Operators would see their edit
  // accepted without taking effect.
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
