import test, { type ExecutionContext } from "ava";
import { type Failure, SeededRandom, SystemClock } from "../core/mod.ts";
import { MemoryPlatform } from "../store/mod.ts";
import { FaultyPlatform } from "../store/testing/mod.ts";
import { type DocumentEdit, DocumentStore } from "./document_store.ts";
import { contentKey, MANIFEST_KEY } from "./manifest.ts";
import type { SectionName } from "./sections.ts";

interface Setup {
  readonly backing: MemoryPlatform;
  readonly platform: FaultyPlatform;
  readonly store: DocumentStore;
  /** A second editor, whose store access has no faults. */
  readonly otherStore: DocumentStore;
}

function setup(): Setup {
  const clock = new SystemClock();
  const backing = new MemoryPlatform(clock);
  const platform = new FaultyPlatform(backing, clock);
  const deps = { clock, random: new SeededRandom(1) };
  const store = new DocumentStore({ ...deps, platform });
  const otherStore = new DocumentStore({
    clock,
    random: new SeededRandom(2),
    platform: backing,
  });
  return { backing, platform, store, otherStore };
}

function edit(
  sections: Record<string, unknown>,
  { author = "team-a", expect }: { author?: string; expect?: number } = {},
): DocumentEdit {
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

interface Case {
  readonly name: string;
  readonly run: (t: ExecutionContext, s: Setup) => Promise<void>;
}

const CASES: Case[] = [
  {
    // Every write takes effect but its response is lost. The edit must be
    // reported as accepted and be applied once.
    name: "a lost response to an accepted edit is resolved by reading back",
    run: async (t, { platform, store, otherStore }) => {
      platform.faults.loseAnswers = "applied";
      const result = await store.apply(edit({ accounts: accounts("a1") }));
      t.is(result._unsafeUnwrap().manifest.generation, 1);
      const now = (await otherStore.manifest())._unsafeUnwrap().value;
      t.is(now.generation, 1);
    },
  },
  {
    // No write reaches the store. The edit must not be reported as accepted, and
    // no part of it may be applied.
    name: "an edit whose writes never reach the store fails",
    run: async (t, { platform, store, otherStore }) => {
      platform.faults.loseAnswers = "dropped";
      const result = await store.apply(edit({ accounts: accounts("a1") }));
      t.is(result._unsafeUnwrapErr().code, "platform_unavailable");
      const now = (await otherStore.manifest())._unsafeUnwrap().value;
      t.is(now.generation, 0);
    },
  },
  {
    // Only the first manifest write is lost before it reaches the store. It must
    // be retried without help from the operator.
    name: "a write that did not reach the store is retried",
    run: async (t, { platform, store, otherStore }) => {
      const inner = platform.put.bind(platform);
      platform.put = async (key, value, condition) => {
        const first = key === MANIFEST_KEY && !writes.has(key);
        writes.add(key);
        platform.faults.loseAnswers = first ? "dropped" : "none";
        return await inner(key, value, condition);
      };
      const writes = new Set<string>();
      const result = await store.apply(edit({ accounts: accounts("a1") }));
      t.is(result._unsafeUnwrap().manifest.generation, 1);
      t.is((await otherStore.manifest())._unsafeUnwrap().value.generation, 1);
    },
  },
  {
    // The response is lost, and a second editor replaces the manifest before it
    // is read back. Whether the first edit took effect cannot be determined.
    name: "a lost response followed by another edit is reported as unknown",
    run: async (t, { backing, platform, store, otherStore }) => {
      const inner = platform.put.bind(platform);
      let raced = false;
      platform.put = async (key, value, condition) => {
        const put = await inner(key, value, condition);
        if (key !== MANIFEST_KEY || raced) return put;
        raced = true;
        await otherStore.apply(edit({ rates: { rates: {} } }, { author: "b" }));
        platform.faults.loseAnswers = "none";
        return put;
      };
      platform.faults.loseAnswers = "applied";
      const result = await store.apply(edit({ accounts: accounts("a1") }));
      t.is(result._unsafeUnwrapErr().code, "platform_outcome_unknown");
      t.true((await backing.get(MANIFEST_KEY)).isOk());
    },
  },
  {
    // Two operators edit the same version. The conflict must name the winning
    // author, version and time, and must not overwrite the winning edit.
    name: "a conflict reports the winning edit",
    run: async (t, { store, otherStore }) => {
      await store.apply(edit({ accounts: accounts("a1") }));
      const next = edit({ accounts: accounts("b1") }, {
        author: "team-b",
        expect: 1,
      });
      await otherStore.apply(next);
      const loser = await store.apply(
        edit({ accounts: accounts("c1") }, { expect: 1 }),
      );
      const failure: Failure = loser._unsafeUnwrapErr();
      t.is(failure.code, "conflict");
      t.is(failure.change?.author, "team-b");
      t.is(failure.change?.version, 2);
    },
  },
  {
    name: "concurrent edits of different sections are all accepted",
    run: async (t, { store, otherStore }) => {
      await store.apply(edit({ accounts: accounts("a1") }));
      const results = await Promise.all([
        store.apply(edit({ "accounts/x": accounts("x1") })),
        otherStore.apply(edit({ "accounts/y": accounts("y1") })),
        store.apply(edit({ drains: { drains: [] } })),
      ]);
      t.true(results.every((d) => d.isOk()));
      const now = (await otherStore.manifest())._unsafeUnwrap().value;
      t.is(now.generation, 4);
      t.is(Object.keys(now.sections).length, 4);
    },
  },
  {
    // Reads come from a lagging replica. An edit based on one would undo the last
    // change; the conditional write must reject it.
    name: "an edit based on a stale read does not undo a newer edit",
    run: async (t, { platform, store, otherStore }) => {
      await store.apply(edit({ accounts: accounts("a1") }));
      await store.apply(edit({ accounts: accounts("a1", "a2") }));
      platform.faults.staleReads = true;
      const result = await store.apply(edit({ accounts: accounts("a3") }));
      t.true(result.isErr());
      const manifest = (await otherStore.manifest())._unsafeUnwrap().value;
      const now = (await otherStore.load(manifest))._unsafeUnwrap();
      t.deepEqual(Object.keys(now.document.accounts), ["a1", "a2"]);
    },
  },
  {
    // An editor that has read version 2 then reads a replica at version 1, which
    // must not be reported as a conflict with version 1.
    name: "a read older than the edit's base version is not a conflict",
    run: async (t, { platform, store }) => {
      await store.apply(edit({ accounts: accounts("a1") }));
      await store.apply(edit({ accounts: accounts("a2") }));
      platform.faults.staleReads = true;
      const next = edit({ accounts: accounts("a3") }, { expect: 2 });
      const result = await store.apply(next);
      t.is(result._unsafeUnwrapErr().code, "platform_unavailable");
    },
  },
  {
    // A section is removed and recreated while an editor holds its old version.
    // If versions restarted at 1, the stale edit would be accepted.
    name: "a recreated section rejects an edit of the old one",
    run: async (t, { store }) => {
      await store.apply(edit({ drains: { drains: [] } }));
      await store.apply(edit({ drains: undefined }));
      await store.apply(edit({ drains: { drains: [] } }));
      const stale = await store.apply(
        edit({ drains: { drains: [] } }, { expect: 1 }),
      );
      t.is(stale._unsafeUnwrapErr().code, "conflict");
    },
  },
  {
    name: "a section over a megabyte is stored in parts and reassembled",
    run: async (t, { store, otherStore }) => {
      const name = "ü€𝄞".repeat(50);
      const ids = Array.from({ length: 6_000 }, (_, i) => `a${i}`);
      const entries = ids.map((id) => [id, { name }]);
      const section = { accounts: Object.fromEntries(entries) };
      const result = await store.apply(edit({ accounts: section }));
      const manifest = result._unsafeUnwrap().manifest;
      const read = (await otherStore.load(manifest))._unsafeUnwrap();
      t.deepEqual(read.raw, { accounts: section });
    },
  },
  {
    // A stored value is truncated. Accepted as is, it could be a document with
    // accounts missing; the digest check must reject it.
    name: "a corrupt content is rejected",
    run: async (t, { backing, platform, store, otherStore }) => {
      const result = await store.apply(edit({ accounts: accounts("a1") }));
      const digest =
        result._unsafeUnwrap().manifest.sections["accounts" as Name]
          ?.sha256 ?? "";
      t.true(
        (await backing.get(contentKey(digest)))._unsafeUnwrap() !== undefined,
      );
      platform.faults.brokenBodies = true;
      const fresh = new DocumentStore({
        platform,
        clock: new SystemClock(),
        random: new SeededRandom(3),
      });
      const { manifest } = result._unsafeUnwrap();
      t.is(
        (await fresh.load(manifest))._unsafeUnwrapErr().code,
        "bad_document",
      );
      t.is((await fresh.manifest())._unsafeUnwrapErr().code, "bad_document");
      t.true((await otherStore.load(manifest)).isOk());
    },
  },
];

type Name = SectionName;

for (const row of CASES) {
  test(row.name, (t) => row.run(t, setup()));
}
