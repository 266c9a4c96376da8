import test from "ava";
import { err, ok, type Result } from "neverthrow";
import { type Failure, failure, ManualClock, SilentLog } from "../core/mod.ts";
import { SettingsWatcher } from "./settings_watcher.ts";

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
