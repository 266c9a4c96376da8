import test from "ava";
import { CancelSource } from "./mod.ts";

test("listeners are called once, and those that were removed are not", (t) => {
  const source = new CancelSource();
  const calls: string[] = [];
  const removed = () => calls.push("removed");
  source.addEventListener("abort", () => calls.push("kept"));
  source.addEventListener("abort", removed);
  source.removeEventListener("abort", removed);
  t.false(source.aborted);
  source.abort();
  source.abort();
  t.true(source.aborted);
  t.deepEqual(calls, ["kept"]);
});
