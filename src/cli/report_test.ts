import test from "ava";
import { MemoryMetrics, SilentLog } from "../core/mod.ts";
import {
  sendRequest,
  startTestInstance,
  waitUntilServing,
} from "../instance/testing/test_instance.ts";
import { EXIT } from "./exit.ts";
import { CommandRunner } from "./testing/command_runner.ts";

const PLATFORM_FLAG = "--platform http://store";
const GOOD_CALLS = 5;

test("a burn report includes counts of an instance that has stopped", async (t) => {
  // Instances are replaced at any time. If their counts were lost, every restart
  // would erase its own failures from the report.
  const one = await startTestInstance({
    log: new SilentLog(),
    metrics: new MemoryMetrics(),
  });
  await waitUntilServing(one);
  for (let i = 0; i < GOOD_CALLS; i++) t.is(await sendRequest(one), 200);
  await one.endpoint.close();
  const failed = await sendRequest(one);
  t.true(failed >= 500, String(failed));
  await one.instance.stop();

  const commands = new CommandRunner(new Map([["http://store", one.platform]]));
  const json = await commands.run(`report burn --json ${PLATFORM_FLAG}`);
  t.is(json.code, EXIT.ok, json.err);
  const { entries } = JSON.parse(json.out);
  const entry = entries.find((e: { account: string }) => e.account === "a1");
  t.is(entry.service, "mapview");
  const day = entry.windows.at(-1);
  t.true(day.good > GOOD_CALLS && day.bad >= 1, JSON.stringify(day));
  t.true(entry.budgetLeft < 1);
  const text = await commands.run(`report burn ${PLATFORM_FLAG}`);
  t.regex(text.out, /^mapview \* {2}budget left .*\n {2}burned by /);
  const html = await commands.run(`report burn --html ${PLATFORM_FLAG}`);
  t.regex(html.out, /^<!doctype html>.*<svg /s);
});

test("a burn report without any counts says so", async (t) => {
  const one = await startTestInstance({
    log: new SilentLog(),
    metrics: new MemoryMetrics(),
  });
  t.teardown(() => one.close());
  const commands = new CommandRunner(new Map([["http://store", one.platform]]));
  const text = await commands.run(`report burn ${PLATFORM_FLAG}`);
  t.is(text.out, "no requests were counted");
});
