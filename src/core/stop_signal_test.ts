import test from "ava";
import process from "node:process";
import { stopSignal } from "./mod.ts";

test("a second stop signal does not end the process", async (t) => {
  // A supervisor may repeat its signal while requests in flight complete.
  // Without a listener the process ends at once and drops their connections.
  const stopped = stopSignal();
  process.emit("SIGTERM", "SIGTERM");
  await stopped;
  t.true(process.listenerCount("SIGTERM") > 0);
  t.true(process.listenerCount("SIGINT") > 0);
});
