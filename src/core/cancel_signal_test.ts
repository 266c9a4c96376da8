import test from "ava";
import { CancelSource } from "./mod.ts";

test("abort calls each listener once and skips removed ones", (t) => {
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
