import test from "ava";
import { setFlagsFromString } from "node:v8";
import { runInNewContext } from "node:vm";
import { Deadline } from "./deadline.ts";

test("a deadline referenced only by its listener still aborts", async (t) => {
  // Garbage is collected while a call waits for a server that hangs. With
  // AbortSignal.any the timeout was collected and the call never ended.
  setFlagsFromString("--expose-gc");
  const gc = runInNewContext("gc") as () => void;
  const parent = new AbortController();
  const aborted = new Promise<void>((resolve) => {
    const { signal } = new Deadline(50, parent.signal);
    signal.addEventListener("abort", () => resolve());
  });
  const collecting = setInterval(gc, 5);
  await aborted;
  clearInterval(collecting);
  t.pass();
});

test("a parent abort does not count as expiry", (t) => {
  const parent = new AbortController();
  const deadline = new Deadline(60_000, parent.signal);
  parent.abort();
  t.true(deadline.signal.aborted);
  t.false(deadline.expired);
  deadline.close();
});
