import test from "ava";
import { mkdtemp, writeFile } from "node:fs/promises";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { EXIT } from "./exit.ts";
import { CommandRunner } from "./testing/command_runner.ts";

function logLine(time: number, instance: string, event: string, fields = {}) {
  return JSON.stringify({ level: "info", time, instance, event, ...fields });
}

async function writeLogs(): Promise<string> {
  const dir = await mkdtemp(join(tmpdir(), "explain-"));
  const drained = { endpoint: "e1", draining: true };
  const failed = { request: "q1", code: "endpoint_failed", tried: "e1(1+0/4)" };
  await writeFile(
    join(dir, "a.log"),
    [
      logLine(1_000, "i1", "endpoint_changed", drained),
      logLine(1_500, "i1", "endpoint_changed", { endpoint: "e9" }),
      logLine(2_000, "i1", "request_refused", failed),
      "{ half a line",
      "",
    ].join("\n"),
  );
  const again = { request: "q1", status: 200, tried: "e2(1+0/4)" };
  await writeFile(
    join(dir, "b.log"),
    `prefix ${logLine(1_900, "i2", "request_answered", again)}\n`,
  );
  return dir;
}

test("a request's log lines are printed in order of time, with earlier events", async (t) => {
  // A caller reports the id of a request that two instances handled.
  const dir = await writeLogs();
  const { code, out } = await new CommandRunner().run(
    `explain q1 ${join(dir, "a.log")} ${join(dir, "b.log")}`,
  );
  t.is(code, EXIT.ok);
  const events = out.split("\n").map((l) => l.split(" ").slice(1, 3).join(" "));
  t.deepEqual(events, [
    "i2 request_answered",
    "i1 endpoint_changed",
    "i1 request_refused",
  ]);
  t.regex(out, /endpoint="e1" draining=true/);
});

test("explain fails for a request without log lines", async (t) => {
  const dir = await writeLogs();
  const { code, err } = await new CommandRunner().run(
    `explain q2 ${join(dir, "a.log")}`,
  );
  t.not(code, EXIT.ok);
  t.regex(err, /no line about request q2/);
});

test("explain reports an unreadable log file and a missing file argument", async (t) => {
  const commands = new CommandRunner();
  t.regex((await commands.run("explain q1 /nowhere.log")).err, /nowhere/);
  t.regex((await commands.run("explain q1")).err, /name the files/);
});

// Guards against events of another endpoint whose name begins alike.
test("explain shows events of the endpoints that were tried only", async (t) => {
  const dir = await mkdtemp(join(tmpdir(), "explain-"));
  const file = join(dir, "a.log");
  const refused = { request: "q1", tried: "e10(1+0/4) e2(0+1/4,90ms)" };
  const lines = ["e1", "e10", "e2", "2"].map((endpoint, i) =>
    logLine(1_000 + i, "i1", "endpoint_changed", { endpoint })
  );
  await writeFile(
    file,
    [...lines, logLine(2_000, "i1", "request_refused", refused)].join("\n"),
  );
  const { out } = await new CommandRunner().run(`explain q1 ${file}`);
  const shown = [...out.matchAll(/endpoint="(\w+)"/g)].map((m) => m[1]);
  t.deepEqual(shown, ["e10", "e2"]);
});
