import test from "ava";
import { ManualClock, SeededRandom } from "../core/mod.ts";
import { MemoryPlatform } from "../store/mod.ts";
import { type DocumentEdit, DocumentStore } from "./document_store.ts";
import type { SectionName } from "./sections.ts";

function setup() {
  const clock = new ManualClock();
  const platform = new MemoryPlatform(clock);
  const store = new DocumentStore({
    platform,
    clock,
    random: new SeededRandom(1),
  });
  return { platform, store };
}

function edit(name: string, value: unknown, version?: number): DocumentEdit {
  const section = name as SectionName;
  return {
    author: "tester",
    sections: new Map([[section, value]]),
    ...(version === undefined ? {} : { expect: new Map([[section, version]]) }),
  };
}

const ACCOUNTS = { accounts: { a1: {} } };

test("an accepted edit raises the generation by one", async (t) => {
  const { store } = setup();
  const first = await store.apply(edit("accounts", ACCOUNTS));
  const second = await store.apply(
    edit("rates", { rates: { a1: { rate_per_s: 5, burst: 5 } } }),
  );
  t.is(first._unsafeUnwrap().manifest.generation, 1);
  t.is(second._unsafeUnwrap().manifest.generation, 2);
});

test("a rate for an undefined account is rejected with its path", async (t) => {
  const { store } = setup();
  const refused = await store.apply(
    edit("rates", { rates: { nobody: { rate_per_s: 5, burst: 5 } } }),
  );
  t.is(refused._unsafeUnwrapErr().code, "bad_document");
  t.deepEqual(refused._unsafeUnwrapErr().path, ["rates", "nobody"]);
  t.is((await store.manifest())._unsafeUnwrap().value.generation, 0);
});

test("the second of two edits of the same section version conflicts", async (t) => {
  // Both operators read version 1. Without the version check the later edit would
  // silently overwrite the earlier one.
  const { store } = setup();
  await store.apply(edit("accounts", ACCOUNTS));
  const winner = await store.apply(edit("accounts", { accounts: {} }, 1));
  const loser = await store.apply(edit("accounts", ACCOUNTS, 1));
  t.true(winner.isOk());
  t.is(loser._unsafeUnwrapErr().code, "conflict");
  t.regex(loser._unsafeUnwrapErr().message, /changed by tester/);
});
