import test from "ava";
import { MemoryMetrics, SilentLog } from "../core/mod.ts";
import {
  callOnce,
  startOne,
  untilServing,
} from "../instance/testing/one_instance.ts";
import { EXIT } from "./exit.ts";
import { TestCommands } from "./testing/test_context.ts";

const AT = "--platform http://store";
const GOOD = 5;

test("a burn report outlives the instances that counted", async (t) => {
  // The instance is replaced, as each is at any time. What its callers got must
  // still be in the report, or every restart would wipe out its own trouble.
  const one = await startOne({
    log: new SilentLog(),
    metrics: new MemoryMetrics(),
  });
  await untilServing(one);
  for (let i = 0; i < GOOD; i++) t.is(await callOnce(one), 200);
  await one.endpoint.close();
  const failed = await callOnce(one);
  t.true(failed >= 500, String(failed));
  await one.instance.stop();

  const commands = new TestCommands(new Map([["http://store", one.platform]]));
  const json = await commands.run(`report burn --json ${AT}`);
  t.is(json.code, EXIT.ok, json.err);
  const { entries } = JSON.parse(json.out);
  const entry = entries.find((e: { account: string }) => e.account === "a1");
  t.is(entry.service, "mapview");
  const day = entry.windows.at(-1);
  t.true(day.good > GOOD && day.bad >= 1, JSON.stringify(day));
  t.true(entry.budgetLeft < 1);
  const text = await commands.run(`report burn ${AT}`);
  t.regex(text.out, /^mapview \* {2}budget left .*\n {2}burned by /);
  const html = await commands.run(`report burn --html ${AT}`);
  t.regex(html.out, /^<!doctype html>.*<svg /s);
});

test("a burn report without any counts says so", async (t) => {
  const one = await startOne({
    log: new SilentLog(),
    metrics: new MemoryMetrics(),
  });
  t.teardown(() => one.close());
  const commands = new TestCommands(new Map([["http://store", one.platform]]));
  const text = await commands.run(`report burn ${AT}`);
  t.is(text.out, "no requests were counted");
});
