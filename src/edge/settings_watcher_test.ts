import test from "ava";
import { err, ok, type Result } from "neverthrow";
import { type Failure, failure, ManualClock, SilentLog } from "../core/mod.ts";
import { ReloadRequests, SettingsWatcher } from "./settings_watcher.ts";

function watch(texts: readonly (string | Failure)[]) {
  const seen: string[] = [];
  const remaining = [...texts];
  const read = (): Promise<Result<string, Failure>> => {
    const next = remaining.shift() ?? "first";
    return Promise.resolve(typeof next === "string" ? ok(next) : err(next));
  };
  const clock = new ManualClock();
  const settings = new SettingsWatcher("first", {
    read,
    parse: (text) =>
      text === "" ? err(failure("bad_settings", "empty")) : ok(text),
    onChange: (text) => seen.push(text),
    clock,
    log: new SilentLog(),
  });
  return { settings, seen, clock };
}

test("changed settings are applied once", async (t) => {
  const { settings, seen } = watch(["first", "second", "second"]);
  for (let i = 0; i < 3; i++) await settings.reload();
  t.deepEqual(seen, ["second"]);
});

test("unreadable settings leave the previous ones in force", async (t) => {
  // The file is read while an operator's tool writes it, and is incomplete.
  const gone = failure("bad_settings", "no such file");
  const { settings, seen } = watch(["", gone, "second"]);
  for (let i = 0; i < 3; i++) await settings.reload();
  t.deepEqual(seen, ["second"]);
});

test("settings are polled without a signal", async (t) => {
  const { seen, clock } = watch(["second"]);
  clock.advance(5_000);
  await Promise.resolve();
  await Promise.resolve();
  t.deepEqual(seen, ["second"]);
});

// Guards against an older text in force: its read ends after that of a newer one.
test("a request during a read leads to one more read after it", async (t) => {
  const { settings, seen } = watch(["second", "third", "fourth"]);
  const first = settings.reload();
  void settings.reload();
  void settings.reload();
  await first;
  t.deepEqual(seen, ["second", "third"]);
});

// Guards against a change that is lost because its signal arrives during a start.
test("a request before there is a watcher is kept for it", (t) => {
  const requests = new ReloadRequests();
  let reloads = 0;
  const watcher = {
    reload: () => {
      reloads++;
      return Promise.resolve();
    },
  };
  requests.request();
  requests.request();
  requests.attach(watcher);
  t.is(reloads, 1);
  requests.request();
  t.is(reloads, 2);
});
