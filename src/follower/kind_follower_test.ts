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
import type { Changes, KindSink, KindSource, Snapshot } from "./mod.ts";
import { KindFollower } from "./mod.ts";

type Reply = Snapshot<string> | Changes<string> | FailureCode;

function list(revision: number, ...names: string[]): Snapshot<string> {
  return { revision, entries: names.map((name) => ({ name, value: name })) };
}

function changed(revision: number, name: string): Changes<string> {
  const entry = { name, value: name };
  return { revision, changes: [{ entry, deleted: false }] };
}

/** A follower over scripted replies, with what it asked and told. */
function follower(...replies: Reply[]) {
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
  const source: KindSource<string> = {
    list: () => next("list"),
    watch: (revision) => next(`watch ${revision}`),
  };
  const sink: KindSink<string> = {
    replaced: (entries) => seen.push(`all ${entries.map((e) => e.name)}`),
    changed: (entry) => seen.push(`changed ${entry.name}`),
    deleted: (name) => seen.push(`deleted ${name}`),
    contact: (inTouch) => seen.push(inTouch ? "in touch" : "lost"),
  };
  const clock = new ManualClock();
  const followed = new KindFollower({
    kind: "things",
    source,
    sink,
    clock,
    random: new SeededRandom(1),
    log: new SilentLog(),
  });
  const step = async () => {
    const done = followed.step();
    await Promise.resolve();
    await Promise.resolve();
    await Promise.resolve();
    clock.advance(1_000);
    await done;
  };
  return { seen, step, followed };
}

test("everything is read once, then changes are followed", async (t) => {
  const { seen, step } = follower(list(5, "a"), changed(7, "b"));
  for (let i = 0; i < 2; i++) await step();
  t.deepEqual(seen, ["list", "all a", "watch 5", "changed b"]);
});

test("a lost history is read anew, and is no outage", async (t) => {
  // The store forgets what has changed. What went missing meanwhile is gone,
  // and must not be kept for a while as after an outage.
  const { seen, step } = follower(list(5, "a"), "history_lost", list(9, "b"));
  for (let i = 0; i < 3; i++) await step();
  t.deepEqual(seen, ["list", "all a", "watch 5", "list", "all b"]);
});

test("after an outage it goes on where it was, and says so first", async (t) => {
  // What is missing after an outage may have lapsed, so whoever takes changes
  // in has to know of the outage before it sees them.
  const { seen, step } = follower(
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
  const { seen, step } = follower(
    list(5, "a"),
    "platform_unavailable",
    "history_lost",
    list(9, "b"),
  );
  for (let i = 0; i < 4; i++) await step();
  t.deepEqual(seen.slice(-3), ["list", "in touch", "all b"]);
});

test("a follower that is closed tells nothing more", async (t) => {
  const { seen, step, followed } = follower("platform_unavailable");
  followed.close();
  await step();
  t.deepEqual(seen, ["list"]);
});
