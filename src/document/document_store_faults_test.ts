import test, { type ExecutionContext } from "ava";
import { type Failure, SeededRandom, SystemClock } from "../core/mod.ts";
import { MemoryPlatform } from "../store/mod.ts";
import { FaultyPlatform } from "../store/testing/mod.ts";
import { DocumentStore, type Edit } from "./document_store.ts";
import { contentKey, MANIFEST_KEY } from "./manifest.ts";
import type { SectionName } from "./sections.ts";

interface Subject {
  readonly truth: MemoryPlatform;
  readonly platform: FaultyPlatform;
  readonly store: DocumentStore;
  /** A second editor, past all faults. */
  readonly other: DocumentStore;
}

function setup(): Subject {
  const clock = new SystemClock();
  const truth = new MemoryPlatform(clock);
  const platform = new FaultyPlatform(truth, clock);
  const deps = { clock, random: new SeededRandom(1) };
  const store = new DocumentStore({ ...deps, platform });
  const other = new DocumentStore({
    clock,
    random: new SeededRandom(2),
    platform: truth,
  });
  return { truth, platform, store, other };
}

function edit(
  sections: Record<string, unknown>,
  { author = "team-a", expect }: { author?: string; expect?: number } = {},
): Edit {
  const entries = Object.entries(sections) as [SectionName, unknown][];
  const names = entries.map(([name]) => name);
  return {
    author,
    sections: new Map(entries),
    ...(expect === undefined
      ? {}
      : { expect: new Map(names.map((n) => [n, expect])) }),
  };
}

function accounts(...ids: string[]): unknown {
  return { accounts: Object.fromEntries(ids.map((id) => [id, {}])) };
}

interface Row {
  readonly name: string;
  readonly run: (t: ExecutionContext, s: Subject) => Promise<void>;
}

const ROWS: Row[] = [
  {
    // Every write takes effect and loses its answer. The operator is told that
    // the edit was accepted, as it was, and finds it there once.
    name: "a lost answer to an accepted edit is settled by reading back",
    run: async (t, { platform, store, other }) => {
      platform.faults.loseAnswers = "applied";
      const done = await store.apply(edit({ accounts: accounts("a1") }));
      t.is(done._unsafeUnwrap().manifest.generation, 1);
      const now = (await other.manifest())._unsafeUnwrap().value;
      t.is(now.generation, 1);
    },
  },
  {
    // No write reaches the store. The operator must not be told that the edit
    // is in force, and nothing of it may be.
    name: "an edit of which no write arrives is refused",
    run: async (t, { platform, store, other }) => {
      platform.faults.loseAnswers = "dropped";
      const done = await store.apply(edit({ accounts: accounts("a1") }));
      t.is(done._unsafeUnwrapErr().code, "platform_unavailable");
      const now = (await other.manifest())._unsafeUnwrap().value;
      t.is(now.generation, 0);
    },
  },
  {
    // The first write is lost on the way and the store is well again. It is
    // sent once more, and the operator need not.
    name: "a write that was lost on the way is sent again",
    run: async (t, { platform, store, other }) => {
      const inner = platform.put.bind(platform);
      platform.put = async (key, value, condition) => {
        const first = key === MANIFEST_KEY && !writes.has(key);
        writes.add(key);
        platform.faults.loseAnswers = first ? "dropped" : "none";
        return await inner(key, value, condition);
      };
      const writes = new Set<string>();
      const done = await store.apply(edit({ accounts: accounts("a1") }));
      t.is(done._unsafeUnwrap().manifest.generation, 1);
      t.is((await other.manifest())._unsafeUnwrap().value.generation, 1);
    },
  },
  {
    // The answer was lost, and before it could be read back another editor's
    // change came on top. Whether ours is in it is not known, and is said so.
    name: "a lost answer under a later change is reported as unknown",
    run: async (t, { truth, platform, store, other }) => {
      const inner = platform.put.bind(platform);
      let raced = false;
      platform.put = async (key, value, condition) => {
        const put = await inner(key, value, condition);
        if (key !== MANIFEST_KEY || raced) return put;
        raced = true;
        await other.apply(edit({ rates: { rates: {} } }, { author: "b" }));
        platform.faults.loseAnswers = "none";
        return put;
      };
      platform.faults.loseAnswers = "applied";
      const done = await store.apply(edit({ accounts: accounts("a1") }));
      t.is(done._unsafeUnwrapErr().code, "platform_outcome_unknown");
      t.true((await truth.get(MANIFEST_KEY)).isOk());
    },
  },
  {
    // Two operators began from the same version. The loser learns who was
    // first, when, and at which version, and its edit undoes nothing.
    name: "the loser of a race is told of the other change",
    run: async (t, { store, other }) => {
      await store.apply(edit({ accounts: accounts("a1") }));
      const next = edit({ accounts: accounts("b1") }, {
        author: "team-b",
        expect: 1,
      });
      await other.apply(next);
      const lost = await store.apply(
        edit({ accounts: accounts("c1") }, { expect: 1 }),
      );
      const failure: Failure = lost._unsafeUnwrapErr();
      t.is(failure.code, "conflict");
      t.is(failure.change?.author, "team-b");
      t.is(failure.change?.version, 2);
    },
  },
  {
    name: "races on different sections are all accepted",
    run: async (t, { store, other }) => {
      await store.apply(edit({ accounts: accounts("a1") }));
      const done = await Promise.all([
        store.apply(edit({ "accounts/x": accounts("x1") })),
        other.apply(edit({ "accounts/y": accounts("y1") })),
        store.apply(edit({ drains: { drains: [] } })),
      ]);
      t.true(done.every((d) => d.isOk()));
      const now = (await other.manifest())._unsafeUnwrap().value;
      t.is(now.generation, 4);
      t.is(Object.keys(now.sections).length, 4);
    },
  },
  {
    // Reads come from a copy that is behind. An edit built on it would undo
    // the last change; the condition on the write keeps it out.
    name: "an edit made on a stale read undoes nothing",
    run: async (t, { platform, store, other }) => {
      await store.apply(edit({ accounts: accounts("a1") }));
      await store.apply(edit({ accounts: accounts("a1", "a2") }));
      platform.faults.staleReads = true;
      const done = await store.apply(edit({ accounts: accounts("a3") }));
      t.true(done.isErr());
      const manifest = (await other.manifest())._unsafeUnwrap().value;
      const now = (await other.load(manifest))._unsafeUnwrap();
      t.deepEqual(Object.keys(now.document.accounts), ["a1", "a2"]);
    },
  },
  {
    // An editor that has seen version 2 meets a copy at version 1. To call it
    // a conflict with version 1 would be untrue.
    name: "a read behind the editor's own version is not a conflict",
    run: async (t, { platform, store }) => {
      await store.apply(edit({ accounts: accounts("a1") }));
      await store.apply(edit({ accounts: accounts("a2") }));
      platform.faults.staleReads = true;
      const next = edit({ accounts: accounts("a3") }, { expect: 2 });
      const done = await store.apply(next);
      t.is(done._unsafeUnwrapErr().code, "platform_unavailable");
    },
  },
  {
    // A section is removed and made again while an editor holds its old
    // version. Counting from one again would let the old edit through.
    name: "a section that was made anew does not take an edit of the old one",
    run: async (t, { store }) => {
      await store.apply(edit({ drains: { drains: [] } }));
      await store.apply(edit({ drains: undefined }));
      await store.apply(edit({ drains: { drains: [] } }));
      const late = await store.apply(
        edit({ drains: { drains: [] } }, { expect: 1 }),
      );
      t.is(late._unsafeUnwrapErr().code, "conflict");
    },
  },
  {
    name: "a section over a megabyte is stored in parts and read whole",
    run: async (t, { store, other }) => {
      const name = "ü€𝄞".repeat(50);
      const ids = Array.from({ length: 6_000 }, (_, i) => `a${i}`);
      const entries = ids.map((id) => [id, { name }]);
      const section = { accounts: Object.fromEntries(entries) };
      const done = await store.apply(edit({ accounts: section }));
      const manifest = done._unsafeUnwrap().manifest;
      const read = (await other.load(manifest))._unsafeUnwrap();
      t.deepEqual(read.raw, { accounts: section });
    },
  },
  {
    // A value was cut off in the store. Taken as it is, it could be a document
    // with accounts missing; its digest shows the damage.
    name: "a damaged content is refused",
    run: async (t, { truth, platform, store, other }) => {
      const done = await store.apply(edit({ accounts: accounts("a1") }));
      const digest = done._unsafeUnwrap().manifest.sections["accounts" as Name]
        ?.sha256 ?? "";
      t.true(
        (await truth.get(contentKey(digest)))._unsafeUnwrap() !== undefined,
      );
      platform.faults.brokenBodies = true;
      const fresh = new DocumentStore({
        platform,
        clock: new SystemClock(),
        random: new SeededRandom(3),
      });
      const { manifest } = done._unsafeUnwrap();
      t.is(
        (await fresh.load(manifest))._unsafeUnwrapErr().code,
        "bad_document",
      );
      t.is((await fresh.manifest())._unsafeUnwrapErr().code, "bad_document");
      t.true((await other.load(manifest)).isOk());
    },
  },
];

type Name = SectionName;

for (const row of ROWS) {
  test(row.name, (t) => row.run(t, setup()));
}
