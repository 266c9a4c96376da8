import test from "ava";
import process from "node:process";
import { stopSignal } from "./mod.ts";

test("a second signal to stop does not end the process", async (t) => {
  // A supervisor repeats its signal while a stop lets requests end. Without a
  // listener the process ends at once, and callers see their connections close.
  const stopped = stopSignal();
  process.emit("SIGTERM", "SIGTERM");
  await stopped;
  t.true(process.listenerCount("SIGTERM") > 0);
  t.true(process.listenerCount("SIGINT") > 0);
});
