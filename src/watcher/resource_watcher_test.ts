import test from "ava";
import { err, ok, type Result } from "neverthrow";
import {
  type Failure,
  failure,
  type FailureCode,
  ManualClock,
  SeededRandom,
  SilentLog,
} from "../core/mod.ts";
import type {
  Changes,
  RelayedChanges,
  RelayedSnapshot,
  ResourceClient,
  ResourceHandler,
  Snapshot,
  StoredEntry,
} from "./mod.ts";
import { ResourceWatcher } from "./mod.ts";

type Reply = Snapshot<string> | Changes<string> | FailureCode;

function entry(name: string, revision: number): StoredEntry<string> {
  return { name, revision, value: name, raw: { name, revision } };
}

function list(revision: number, ...names: string[]): Snapshot<string> {
  return { revision, entries: names.map((name) => entry(name, revision)) };
}

function changed(
  revision: number,
  name: string,
  deleted = false,
): Changes<string> {
  return { revision, changes: [{ entry: entry(name, revision), deleted }] };
}

/** A watcher over scripted replies, with what it asked and told. */
function watcher(...replies: Reply[]) {
  return waitingFollower(0, ...replies);
}

/** The same, which waits so long for instances that have read everything. */
function waitingFollower(peersFirstMs: number, ...replies: Reply[]) {
  const seen: string[] = [];
  const left = [...replies];
  const next = <T>(call: string): Promise<Result<T, Failure>> => {
    seen.push(call);
    const reply = left.shift() ?? "platform_unavailable";
    return Promise.resolve(
      typeof reply === "string"
        ? err(failure(reply, "scripted"))
        : ok(reply as T),
    );
  };
  const source: ResourceClient<string> = {
    list: () => next("list"),
    watch: (revision) => next(`watch ${revision}`),
    read: (raw) => {
      const { name, revision } = raw as { name: string; revision: number };
      return entry(name, revision);
    },
  };
  const relayed: RelayedChanges[] = [];
  const peer: { snapshot: RelayedSnapshot | undefined } = {
    snapshot: undefined,
  };
  const sink: ResourceHandler<string> = {
    replaced: (entries) => seen.push(`all ${entries.map((e) => e.name)}`),
    changed: (entry) => seen.push(`changed ${entry.name}`),
    deleted: (name) => seen.push(`deleted ${name}`),
    contact: (inTouch) => seen.push(inTouch ? "in touch" : "lost"),
  };
  const clock = new ManualClock();
  const followed = new ResourceWatcher({
    kind: "things",
    source,
    sink,
    clock,
    random: new SeededRandom(1),
    log: new SilentLog(),
    peersFirstMs,
    relay: (batch) => relayed.push(batch),
    fetch: (_kind, atLeast) => {
      const { snapshot } = peer;
      return Promise.resolve(
        snapshot === undefined || snapshot.revision < atLeast
          ? err(failure("peer_unavailable", "scripted"))
          : ok(snapshot),
      );
    },
  });
  const pass = async (ms: number) => {
    clock.advance(ms);
    for (let i = 0; i < 8; i++) await Promise.resolve();
  };
  const step = async () => {
    const done = followed.step();
    await Promise.resolve();
    await Promise.resolve();
    await Promise.resolve();
    clock.advance(1_000);
    await done;
  };
  return { seen, step, followed, relayed, peer, pass };
}

test("everything is read once, then changes are followed", async (t) => {
  const { seen, step } = watcher(list(5, "a"), changed(7, "b"));
  for (let i = 0; i < 2; i++) await step();
  t.deepEqual(seen, ["list", "all a", "watch 5", "changed b"]);
});

test("a lost history is read anew, and is no outage", async (t) => {
  // The store forgets what has changed. What went missing meanwhile is gone,
  // and must not be kept for a while as after an outage.
  const { seen, step } = watcher(list(5, "a"), "history_lost", list(9, "b"));
  for (let i = 0; i < 3; i++) await step();
  t.deepEqual(seen, ["list", "all a", "watch 5", "list", "all b"]);
});

test("after an outage it goes on where it was, and says so first", async (t) => {
  // What is missing after an outage may have lapsed, so whoever takes changes
  // in has to know of the outage before it sees them.
  const { seen, step } = watcher(
    list(5, "a"),
    "platform_unavailable",
    "platform_unavailable",
    changed(8, "b"),
  );
  for (let i = 0; i < 4; i++) await step();
  t.deepEqual(seen, [
    "list",
    "all a",
    "watch 5",
    "lost",
    "watch 5",
    "watch 5",
    "in touch",
    "changed b",
  ]);
});

test("after an outage that outlived the history, contact is told first too", async (t) => {
  const { seen, step } = watcher(
    list(5, "a"),
    "platform_unavailable",
    "history_lost",
    list(9, "b"),
  );
  for (let i = 0; i < 4; i++) await step();
  t.deepEqual(seen.slice(-3), ["list", "in touch", "all b"]);
});

test("a watcher that is closed tells nothing more", async (t) => {
  const { seen, step, followed } = watcher("platform_unavailable");
  followed.close();
  await step();
  t.deepEqual(seen, ["list"]);
});

function batch(opts: Partial<RelayedChanges> = {}): RelayedChanges {
  const raw = { name: "b", revision: 7 };
  const changes = [{ raw, deleted: false }];
  return { kind: "things", after: 5, upTo: 7, changes, holdMs: 0, ...opts };
}

test("what the store tells is passed on, as what follows the last change", async (t) => {
  const { step, relayed } = watcher(list(5, "a"), changed(7, "b"));
  for (let i = 0; i < 2; i++) await step();
  t.like(relayed[0], { kind: "things", after: 5, upTo: 7 });
  t.deepEqual(relayed[0]?.changes, batch().changes);
});

test("changes that another instance passes on are taken in once", async (t) => {
  // Two instances of a zone ask the store, and both pass on what they hear.
  const { seen, step, followed } = watcher(list(5, "a"));
  await step();
  followed.reported(batch());
  followed.reported(batch());
  t.deepEqual(seen, ["list", "all a", "changed b"]);
  t.is(followed.changedAt, 7);
});

test("an older state that comes late does not undo a newer one", async (t) => {
  // Datagrams overtake each other. An endpoint that drains would get requests
  // again.
  const { seen, step, followed } = watcher(list(5, "a"));
  await step();
  const raw = { name: "b", revision: 9 };
  const newer = [{ raw, deleted: false }];
  followed.reported(batch({ upTo: 9, changes: newer }));
  followed.reported(batch({ upTo: 10 }));
  t.deepEqual(seen, ["list", "all a", "changed b"]);
});

test("after a lost message what is missing is had from an instance that knows it", async (t) => {
  // A datagram with an endpoint's drain is lost; the next one shows the gap.
  const { seen, step, followed, peer, pass } = watcher(list(5, "a"));
  await step();
  const objects = [{ name: "c", revision: 8 }];
  peer.snapshot = { revision: 9, changedAt: 9, objects, holdMs: 0 };
  followed.reported(batch({ after: 7, upTo: 9 }));
  t.deepEqual(seen, ["list", "all a"]);
  await pass(200);
  t.deepEqual(seen, ["list", "all a", "deleted a", "changed c"]);
  t.is(followed.snapshot()?.revision, 9);
});

test("where no instance can tell, the store is asked what is missing", async (t) => {
  // All instances of the zone that ask the store are cut off from it and do not
  // know. Other zones tell of a change that nobody here has.
  const { seen, step, followed, pass } = watcher(
    list(5, "a"),
    changed(8, "b", true),
  );
  await step();
  followed.onRevision(8);
  await pass(200);
  t.deepEqual(seen.slice(2), ["watch 5", "in touch", "deleted b"]);
});

test("what comes in time is not fetched", async (t) => {
  const { seen, step, followed, pass } = watcher(list(5, "a"));
  await step();
  followed.onRevision(7);
  followed.reported(batch());
  await pass(200);
  t.deepEqual(seen, ["list", "all a", "changed b"]);
});

test("an instance that starts while the store is away learns from another", async (t) => {
  const { seen, step, followed, peer } = watcher("platform_unavailable");
  const objects = [{ name: "c", revision: 8 }];
  peer.snapshot = { revision: 9, changedAt: 8, objects, holdMs: 0 };
  await step();
  t.deepEqual(seen, ["list", "all c"]);
  t.is(followed.changedAt, 8);
});

test("an instance that begins to ask says once that the store answers it", async (t) => {
  // Until then it went by what others said of the store, which may have been
  // that it is away. Taken on for good, entries that lapse would be held though
  // the store is there.
  const { seen, step, followed } = watcher(
    list(5, "a"),
    changed(7, "b"),
    changed(9, "c"),
  );
  await step();
  followed.setWatching(true);
  followed.setWatching(true);
  await step();
  await step();
  t.deepEqual(seen.slice(2), [
    "watch 5",
    "in touch",
    "changed b",
    "watch 7",
    "changed c",
  ]);
});

test("what another instance tells again is not taken for news", async (t) => {
  // An endpoint's entry says how long it is cold from then on. Taken in again
  // seconds later, it would be kept from its requests for as long once more.
  const { seen, step, followed, peer, pass } = watcher(list(5, "a"));
  await step();
  const objects = [{ name: "a", revision: 5 }, { name: "c", revision: 8 }];
  peer.snapshot = { revision: 9, changedAt: 9, objects, holdMs: 0 };
  followed.onRevision(9);
  await pass(200);
  t.deepEqual(seen, ["list", "all a", "changed c"]);
});

// Guards against a first start in which every instance reads every list.
test("at a first start lists are read from an instance that has them", async (t) => {
  const { seen, followed, peer, pass } = waitingFollower(4_000, list(5, "a"));
  const done = followed.step();
  await pass(1_000);
  t.deepEqual(seen, []);
  const objects = [{ name: "b", revision: 7 }];
  peer.snapshot = { revision: 7, changedAt: 7, objects, holdMs: 0 };
  followed.onRevision(7);
  await pass(250);
  await done;
  t.deepEqual(seen, ["all b"]);
});

// Guards against a first start that waits for instances that never answer.
test("without an instance that has the lists, they are read from the store", async (t) => {
  const { seen, followed, pass } = waitingFollower(1_000, list(5, "a"));
  const done = followed.step();
  for (let i = 0; i < 5; i++) await pass(250);
  await done;
  t.deepEqual(seen, ["list", "all a"]);
});

// Guards against watchers that wait for each other.
test("an instance that watches the store reads the lists at once", async (t) => {
  const { seen, followed, pass } = waitingFollower(60_000, list(5, "a"));
  followed.setWatching(true);
  const done = followed.step();
  await pass(0);
  await done;
  t.deepEqual(seen, ["list", "in touch", "all a"]);
});

// Guards against fetching a kind without objects from the store for ever.
test("a kind without objects counts as read", async (t) => {
  const { followed, step } = watcher(list(5));
  t.is(followed.changedAt, 0);
  await step();
  t.true(followed.changedAt > 0);
});
