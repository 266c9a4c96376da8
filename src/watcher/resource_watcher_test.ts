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

/** A watcher over scripted replies, with its calls and notifications. */
function watcher(...replies: Reply[]) {
  return watcherAwaitingPeers(0, ...replies);
}

/** The same, waiting up to `peersFirstMs` for a peer's snapshot. */
function watcherAwaitingPeers(peersFirstMs: number, ...replies: Reply[]) {
  const seen: string[] = [];
  const remaining = [...replies];
  const next = <T>(call: string): Promise<Result<T, Failure>> => {
    seen.push(call);
    const reply = remaining.shift() ?? "platform_unavailable";
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
  const failing = new Set<string>();
  const handler: ResourceHandler<string> = {
    replaced: (entries) => seen.push(`all ${entries.map((e) => e.name)}`),
    changed: (entry) => {
      if (failing.delete(entry.name)) throw new Error("scripted");
      seen.push(`changed ${entry.name}`);
    },
    deleted: (name) => seen.push(`deleted ${name}`),
    setReachable: (reachable) => seen.push(reachable ? "in touch" : "lost"),
  };
  const clock = new ManualClock();
  const resourceWatcher = new ResourceWatcher({
    kind: "things",
    source,
    handler,
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
    const done = resourceWatcher.step();
    for (let i = 0; i < 8; i++) await Promise.resolve();
    clock.advance(1_000);
    await done;
  };
  return { seen, step, resourceWatcher, relayed, peer, pass, failing };
}

test("a watcher lists once, then watches changes", async (t) => {
  const { seen, step } = watcher(list(5, "a"), changed(7, "b"));
  for (let i = 0; i < 2; i++) await step();
  t.deepEqual(seen, ["list", "all a", "watch 5", "changed b"]);
});

test("a lost history leads to a new list and is not an outage", async (t) => {
  // The store has compacted its history. Objects missing from the new list are
  // deleted, and must not be held for a time as after an outage.
  const { seen, step } = watcher(list(5, "a"), "history_lost", list(9, "b"));
  for (let i = 0; i < 3; i++) await step();
  t.deepEqual(seen, ["list", "all a", "watch 5", "list", "all b"]);
});

test("after an outage the watch resumes, and reachability is notified first", async (t) => {
  // Entries missing after an outage may have expired, so the handler has to
  // know of the outage before it receives changes.
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

test("after an outage that outlasts the history, reachability is notified first too", async (t) => {
  const { seen, step } = watcher(
    list(5, "a"),
    "platform_unavailable",
    "history_lost",
    list(9, "b"),
  );
  for (let i = 0; i < 4; i++) await step();
  t.deepEqual(seen.slice(-3), ["list", "in touch", "all b"]);
});

test("a closed watcher notifies nothing more", async (t) => {
  const { seen, step, resourceWatcher } = watcher("platform_unavailable");
  resourceWatcher.close();
  await step();
  t.deepEqual(seen, ["list"]);
});

function batch(opts: Partial<RelayedChanges> = {}): RelayedChanges {
  const raw = { name: "b", revision: 7 };
  const changes = [{ raw, deleted: false }];
  return { kind: "things", after: 5, upTo: 7, changes, holdMs: 0, ...opts };
}

test("changes from the store are relayed as following the last change", async (t) => {
  const { step, relayed } = watcher(list(5, "a"), changed(7, "b"));
  for (let i = 0; i < 2; i++) await step();
  t.like(relayed[0], { kind: "things", after: 5, upTo: 7 });
  t.deepEqual(relayed[0]?.changes, batch().changes);
});

test("changes relayed by two instances are applied once", async (t) => {
  // Two instances of a zone watch the store, and both relay its changes.
  const { seen, step, resourceWatcher } = watcher(list(5, "a"));
  await step();
  resourceWatcher.applyRelayed(batch());
  resourceWatcher.applyRelayed(batch());
  t.deepEqual(seen, ["list", "all a", "changed b"]);
  t.is(resourceWatcher.changedAt, 7);
});

test("an older state that arrives late does not overwrite a newer one", async (t) => {
  // Datagrams overtake each other. An endpoint that drains would get requests
  // again.
  const { seen, step, resourceWatcher } = watcher(list(5, "a"));
  await step();
  const raw = { name: "b", revision: 9 };
  const newer = [{ raw, deleted: false }];
  resourceWatcher.applyRelayed(batch({ upTo: 9, changes: newer }));
  resourceWatcher.applyRelayed(batch({ upTo: 10 }));
  t.deepEqual(seen, ["list", "all a", "changed b"]);
});

test("after a lost message missing changes are fetched from a peer", async (t) => {
  // A datagram with an endpoint's drain is lost; the next one shows the gap.
  const { seen, step, resourceWatcher, peer, pass } = watcher(list(5, "a"));
  await step();
  const objects = [{ name: "c", revision: 8 }];
  peer.snapshot = { revision: 9, changedAt: 9, objects, holdMs: 0 };
  resourceWatcher.applyRelayed(batch({ after: 7, upTo: 9 }));
  t.deepEqual(seen, ["list", "all a"]);
  await pass(200);
  t.deepEqual(seen, ["list", "all a", "deleted a", "changed c"]);
  t.is(resourceWatcher.snapshot()?.revision, 9);
});

test("if no peer has the missing changes, they are read from the store", async (t) => {
  // All watchers of the zone are partitioned from the store without detecting
  // it. Other zones report a change that no instance of this zone has.
  const { seen, step, resourceWatcher, pass } = watcher(
    list(5, "a"),
    changed(8, "b", true),
  );
  await step();
  resourceWatcher.onRevision(8);
  await pass(200);
  t.deepEqual(seen.slice(2), ["watch 5", "in touch", "deleted b"]);
});

test("changes that arrive in time are not fetched", async (t) => {
  const { seen, step, resourceWatcher, pass } = watcher(list(5, "a"));
  await step();
  resourceWatcher.onRevision(7);
  resourceWatcher.applyRelayed(batch());
  await pass(200);
  t.deepEqual(seen, ["list", "all a", "changed b"]);
});

test("an instance that starts during a store outage reads from a peer", async (t) => {
  const { seen, step, resourceWatcher, peer } = watcher("platform_unavailable");
  const objects = [{ name: "c", revision: 8 }];
  peer.snapshot = { revision: 9, changedAt: 8, objects, holdMs: 0 };
  await step();
  t.deepEqual(seen, ["list", "all c"]);
  t.is(resourceWatcher.changedAt, 8);
});

test("an instance that begins to watch reports the store reachable once", async (t) => {
  // Until then it used its peers' reports of the store, which may have been that
  // it is unreachable. If that stayed, expired entries would be held although
  // the store is reachable.
  const { seen, step, resourceWatcher } = watcher(
    list(5, "a"),
    changed(7, "b"),
    changed(9, "c"),
  );
  await step();
  resourceWatcher.setWatching(true);
  resourceWatcher.setWatching(true);
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

test("a known object in a peer's snapshot is not applied again", async (t) => {
  // An endpoint's entry states how long it stays cold from receipt. Applied
  // again seconds later, it would be treated as cold for that time once more.
  const { seen, step, resourceWatcher, peer, pass } = watcher(list(5, "a"));
  await step();
  const objects = [{ name: "a", revision: 5 }, { name: "c", revision: 8 }];
  peer.snapshot = { revision: 9, changedAt: 9, objects, holdMs: 0 };
  resourceWatcher.onRevision(9);
  await pass(200);
  t.deepEqual(seen, ["list", "all a", "changed c"]);
});

// Guards against a first start in which every instance reads every list.
test("at a first start objects are read from a peer that has them", async (t) => {
  const { seen, resourceWatcher, peer, pass } = watcherAwaitingPeers(
    4_000,
    list(5, "a"),
  );
  const done = resourceWatcher.step();
  await pass(1_000);
  t.deepEqual(seen, []);
  const objects = [{ name: "b", revision: 7 }];
  peer.snapshot = { revision: 7, changedAt: 7, objects, holdMs: 0 };
  resourceWatcher.onRevision(7);
  await pass(250);
  await done;
  t.deepEqual(seen, ["all b"]);
});

// Guards against a first start that waits for peers that never respond.
test("without a peer that has the objects, they are listed from the store", async (t) => {
  const { seen, resourceWatcher, pass } = watcherAwaitingPeers(
    1_000,
    list(5, "a"),
  );
  const done = resourceWatcher.step();
  for (let i = 0; i < 5; i++) await pass(250);
  await done;
  t.deepEqual(seen, ["list", "all a"]);
});

// Guards against watchers that wait for each other.
test("an instance that watches the store lists at once", async (t) => {
  const { seen, resourceWatcher, pass } = watcherAwaitingPeers(
    60_000,
    list(5, "a"),
  );
  resourceWatcher.setWatching(true);
  const done = resourceWatcher.step();
  await pass(0);
  await done;
  t.deepEqual(seen, ["list", "in touch", "all a"]);
});

// Guards against fetching a kind without objects from the store forever.
test("a kind without objects counts as read", async (t) => {
  const { resourceWatcher, step } = watcher(list(5));
  t.is(resourceWatcher.changedAt, 0);
  await step();
  t.true(resourceWatcher.changedAt > 0);
});

// Guards against peers that take an instance's list for complete up to its
// newest object while it lacks an earlier change.
test("a list in pages reports no change that is newer than its revision", async (t) => {
  const entries = [entry("a", 4), entry("b", 8)];
  const { resourceWatcher, step, seen, relayed } = watcher(
    { revision: 5, entries },
    {
      revision: 8,
      changes: [
        { entry: entry("a", 7), deleted: false },
        { entry: entry("b", 8), deleted: false },
      ],
    },
  );
  await step();
  t.is(resourceWatcher.changedAt, 4);
  await step();
  t.deepEqual(seen, ["list", "all a,b", "watch 5", "changed a"]);
  t.like(relayed[0], { after: 5, upTo: 8 });
  t.is(resourceWatcher.changedAt, 8);
});

// Guards against a change that is never applied, and a watch that ends for good,
// after a handler failed once.
test("after a change that cannot be applied all objects are listed again", async (t) => {
  const { seen, resourceWatcher, pass, failing } = watcher(
    list(5, "a"),
    changed(7, "b"),
    list(7, "a", "b"),
  );
  failing.add("b");
  resourceWatcher.setWatching(true);
  const running = resourceWatcher.run();
  for (let i = 0; i < 3; i++) await pass(1_000);
  resourceWatcher.close();
  await pass(1_000);
  await running;
  t.deepEqual(
    seen.filter((s) => s !== "in touch" && s !== "lost").slice(0, 5),
    ["list", "all a", "watch 5", "list", "all a,b"],
  );
});

for (
  const { name, learn } of [
    {
      name: "relayed by a peer",
      learn: (w: ResourceWatcher<string>) => w.applyRelayed(batch()),
    },
    {
      name: "fetched from a peer",
      learn: (w: ResourceWatcher<string>) => w.onRevision(7),
    },
  ]
) {
  // Guards against an instance that relies on peers and misses a change for good.
  test(`after a change ${name} that cannot be applied all objects are listed again`, async (t) => {
    const { seen, step, resourceWatcher, peer, pass, failing } = watcher(
      list(5, "a"),
      list(9, "a", "b"),
    );
    await step();
    failing.add("b");
    const objects = [{ name: "a", revision: 5 }, { name: "b", revision: 7 }];
    peer.snapshot = { revision: 7, changedAt: 7, objects, holdMs: 0 };
    learn(resourceWatcher);
    await pass(200);
    t.is(resourceWatcher.snapshot(), undefined);
    await step();
    t.deepEqual(seen, ["list", "all a", "list", "all a,b"]);
  });
}

// Guards against an endpoint or evacuation that one instance keeps for good:
// all instances restart, and it is deleted after this instance's list and before
// those of the watchers, which therefore relay no change.
test("a list is confirmed once by the store if no peer relays a later change", async (t) => {
  const { seen, step, pass } = watcher(
    list(5, "a"),
    changed(7, "a", true),
  );
  await step();
  for (let i = 0; i < 8; i++) await pass(1_000);
  t.deepEqual(seen, ["list", "all a", "watch 5", "in touch", "deleted a"]);
});

test("a list is confirmed later if the store does not respond", async (t) => {
  const { seen, step, pass } = watcher(
    list(5, "a"),
    "platform_unavailable",
    changed(7, "a", true),
  );
  await step();
  for (let i = 0; i < 8; i++) await pass(1_000);
  t.deepEqual(seen.slice(2), ["watch 5", "watch 5", "in touch", "deleted a"]);
});

// Guards against calls by every instance throughout an outage of the store.
test("a list is confirmed ever less often while the store does not respond", async (t) => {
  const { seen, step, pass } = watcher(list(5, "a"));
  await step();
  for (let i = 0; i < 60; i++) await pass(1_000);
  t.is(seen.filter((s) => s === "watch 5").length, 4);
});

for (
  const { name, learn } of [
    {
      name: "a peer relays a change",
      learn: (w: ResourceWatcher<string>) => w.applyRelayed(batch()),
    },
    {
      name: "the instance watches the store",
      learn: (w: ResourceWatcher<string>) => w.setWatching(true),
    },
  ]
) {
  // Guards against calls to the store by every instance that starts.
  test(`a list is not confirmed once ${name}`, async (t) => {
    const { seen, step, resourceWatcher, pass } = watcher(list(5, "a"));
    await step();
    learn(resourceWatcher);
    for (let i = 0; i < 8; i++) await pass(1_000);
    t.false(seen.includes("watch 5"));
  });
}
