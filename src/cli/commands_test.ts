import test, { type ExecutionContext } from "ava";
import { mkdtemp, rm, writeFile } from "node:fs/promises";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { StoreServer } from "../../tools/standins/store_server.ts";
import { SystemClock } from "../core/mod.ts";
import { sha256 } from "../document/mod.ts";
import { MemoryPlatform, type Platform } from "../store/mod.ts";
import { FaultyPlatform } from "../store/testing/mod.ts";
import { EXIT } from "./exit.ts";
import { COMMANDS } from "./program.ts";
import { CommandRunner } from "./testing/command_runner.ts";

const PLATFORM_FLAG = "--platform http://store";

async function setup(t: ExecutionContext) {
  const clock = new SystemClock();
  const platform = new FaultyPlatform(new MemoryPlatform(clock), clock);
  const empty = new MemoryPlatform(clock);
  const commands = new CommandRunner(
    new Map<string, Platform>([["http://store", platform], [
      "http://empty",
      empty,
    ]]),
  );
  const dir = await mkdtemp(join(tmpdir(), "magnoliahook-cli-"));
  t.teardown(() => rm(dir, { recursive: true }));
  const file = async (name: string, text: string) => {
    await writeFile(join(dir, name), text);
    return join(dir, name);
  };
  const sections = {
    accounts: await file("accounts.toml", "[accounts.a1]\n[accounts.a2]\n"),
    rates: await file(
      "rates.json",
      '{"rates":{"a1":{"rate_per_s":5,"burst":9}}}',
    ),
    regions: await file(
      "regions.toml",
      "[regions.gulf.zones.gulf-a]\n[regions.gulf.zones.gulf-b]\n",
    ),
  };
  const applySections = async () => {
    for (const [name, path] of Object.entries(sections)) {
      const done = await commands.run(`apply ${name} ${path} ${PLATFORM_FLAG}`);
      t.is(done.code, EXIT.ok, done.err);
    }
  };
  return { commands, platform, dir, file, sections, applySections };
}

test("check accepts a directory of sections", async (t) => {
  const { commands, dir } = await setup(t);
  const done = await commands.run(`check ${dir} --json`);
  t.is(done.code, EXIT.ok, done.err);
  t.deepEqual(JSON.parse(done.out).sections, ["accounts", "rates", "regions"]);
});

test("check reports the path, the value found and the nearest key", async (t) => {
  const { commands, dir, file } = await setup(t);
  await file("rates.json", '{"rates":{"a1":{"rate_per_s":0,"brust":9}}}');
  const done = await commands.run(`check ${dir}`);
  t.is(done.code, EXIT.badInput);
  t.regex(done.err, /rates\.rates\.a1\.rate_per_s: Too small.*found 0/);
  t.regex(done.err, /unknown key "brust"; did you mean "burst"\?/);
});

test("apply writes a section from TOML and one from JSON", async (t) => {
  const { commands, applySections } = await setup(t);
  await applySections();
  const shown = await commands.run(`show rates --json ${PLATFORM_FLAG}`);
  const { value, version, author } = JSON.parse(shown.out);
  t.deepEqual(value, { rates: { a1: { rate_per_s: 5, burst: 9 } } });
  t.is(version, 2);
  t.is(author, "tester");
});

test("apply refuses an invalid section and changes nothing", async (t) => {
  const { commands, applySections, file } = await setup(t);
  await applySections();
  const bad = await file(
    "bad.json",
    '{"rates":{"nobody":{"rate_per_s":1,"burst":1}}}',
  );
  const done = await commands.run(`apply rates ${bad} ${PLATFORM_FLAG}`);
  t.is(done.code, EXIT.badInput);
  t.regex(done.err, /rates\.nobody: names account nobody/);
  const shown = await commands.run(`show --json ${PLATFORM_FLAG}`);
  t.is(JSON.parse(shown.out).generation, 3);
});

test("apply on an outdated version reports who changed the section", async (t) => {
  // Two operators edit the same section. The slower one must learn whose
  // change it would have overwritten.
  const { commands, applySections, sections } = await setup(t);
  await applySections();
  await commands.run(
    `apply rates ${sections.rates} --author rival ${PLATFORM_FLAG}`,
  );
  const lost = await commands.run(
    `apply rates ${sections.rates} --expect 2 ${PLATFORM_FLAG}`,
  );
  t.is(lost.code, EXIT.conflict);
  t.regex(lost.err, /rates: section is at version 4, changed by rival at /);
});

test("show without a section lists versions and authors", async (t) => {
  const { commands, applySections } = await setup(t);
  await applySections();
  const shown = await commands.run(`show ${PLATFORM_FLAG}`);
  t.regex(shown.out, /^generation 3\naccounts {2}version 1 {2}tester/);
});

test("export and import copy the whole document to an empty platform", async (t) => {
  const { commands, applySections, dir } = await setup(t);
  await applySections();
  const file = join(dir, "whole.json");
  t.is((await commands.run(`export ${file} ${PLATFORM_FLAG}`)).code, EXIT.ok);
  const empty = "--platform http://empty";
  t.is((await commands.run(`import ${file} ${empty}`)).code, EXIT.ok);
  const [from, to] = [
    await commands.run(`export ${PLATFORM_FLAG}`),
    await commands.run(`export ${empty}`),
  ];
  t.deepEqual(JSON.parse(to.out).sections, JSON.parse(from.out).sections);
  const again = await commands.run(`import ${file} ${empty}`);
  t.is(again.code, EXIT.conflict);
});

test("key issue prints the key once and stores its digest", async (t) => {
  const { commands, applySections } = await setup(t);
  await applySections();
  const issued = await commands.run(`key issue a1 --id k1 ${PLATFORM_FLAG}`);
  t.is(issued.code, EXIT.ok, issued.err);
  const whole = await commands.run(`export ${PLATFORM_FLAG}`);
  t.true(whole.out.includes(sha256(issued.out)));
  t.false(whole.out.includes(issued.out));
});

test("key issue for a mistyped account suggests the nearest", async (t) => {
  const { commands, applySections } = await setup(t);
  await applySections();
  const refused = await commands.run(`key issue a11 ${PLATFORM_FLAG}`);
  t.is(refused.code, EXIT.badInput);
  t.regex(refused.err, /unknown account "a11"; did you mean "a1"\?/);
});

test("key withdraw marks the key and keeps its id reserved", async (t) => {
  const { commands, applySections } = await setup(t);
  await applySections();
  await commands.run(`key issue a1 --id k1 ${PLATFORM_FLAG}`);
  const done = await commands.run(`key withdraw a1 k1 --json ${PLATFORM_FLAG}`);
  t.is(done.code, EXIT.ok, done.err);
  const accounts = JSON.parse(
    (await commands.run(`show accounts ${PLATFORM_FLAG}`)).out,
  );
  t.true(accounts.accounts.a1.keys[0].withdrawn);
  const again = await commands.run(`key issue a1 --id k1 ${PLATFORM_FLAG}`);
  t.is(again.code, EXIT.conflict);
});

test("drain add, list and remove", async (t) => {
  const { commands, applySections } = await setup(t);
  await applySections();
  t.is(
    (await commands.run(`drain add zone gulf-a ${PLATFORM_FLAG}`)).code,
    EXIT.ok,
  );
  const list = await commands.run(`drain list --json ${PLATFORM_FLAG}`);
  t.deepEqual(JSON.parse(list.out), [{ kind: "zone", id: "gulf-a" }]);
  t.is(
    (await commands.run(`drain remove zone gulf-a ${PLATFORM_FLAG}`)).code,
    EXIT.ok,
  );
  t.is((await commands.run(`drain list ${PLATFORM_FLAG}`)).out, "");
  const none = await commands.run(`drain remove zone gulf-a ${PLATFORM_FLAG}`);
  t.is(none.code, EXIT.badInput);
});

test("a drain of a mistyped zone is refused", async (t) => {
  // Otherwise the operator believes that a zone is draining before maintenance,
  // and nothing is.
  const { commands, applySections } = await setup(t);
  await applySections();
  const refused = await commands.run(`drain add zone gulf-c ${PLATFORM_FLAG}`);
  t.is(refused.code, EXIT.badInput);
  t.regex(refused.err, /unknown zone "gulf-c"; did you mean "gulf-a"\?/);
});

test("status prints the generation and the listed instances", async (t) => {
  const { commands, applySections } = await setup(t);
  await applySections();
  const status = await commands.run(`status --json ${PLATFORM_FLAG}`);
  t.like(JSON.parse(status.out), { generation: 3, instances: [] });
});

interface FaultRow {
  readonly name: string;
  readonly faults: Partial<FaultyPlatform["faults"]>;
  readonly code: number;
}

const FAULT_ROWS: FaultRow[] = [
  { name: "down", faults: { down: true }, code: EXIT.unavailable },
  { name: "answers lost", faults: { loseAnswers: "applied" }, code: EXIT.ok },
  {
    name: "writes lost",
    faults: { loseAnswers: "dropped" },
    code: EXIT.unavailable,
  },
  { name: "slow", faults: { slowMs: 5 }, code: EXIT.ok },
];

for (const row of FAULT_ROWS) {
  test(`apply with a store fault: ${row.name}`, async (t) => {
    // Scripts rely on the exit code: only 0 may mean that the edit is in force,
    // and only 5 that it may be.
    const { commands, platform, sections } = await setup(t);
    Object.assign(platform.faults, row.faults);
    const done = await commands.run(
      `apply accounts ${sections.accounts} ${PLATFORM_FLAG}`,
    );
    t.is(done.code, row.code as typeof done.code, done.err);
  });
}

test("serve runs an instance until it is asked to stop", async (t) => {
  const { file } = await setup(t);
  const store = await StoreServer.open();
  const settings = await file(
    "settings.toml",
    `[instance]\nid = "i1"\nzone = "gulf-a"\nregion = "gulf"\n[platform]\nurl = "${store.url}"\n`,
  );
  const commands = new CommandRunner();
  const lines: string[] = [];
  const done = await commands.run(`serve --settings ${settings}`, (line) => {
    lines.push(line);
    setImmediate(() => commands.stop());
  });
  t.is(done.code, EXIT.ok, done.err);
  t.is(JSON.parse(lines[0] ?? "").event, "serving");
  await store.close();
});

test("serve refuses invalid settings with file, path, found and allowed values", async (t) => {
  const { commands, file } = await setup(t);
  const settings = await file("s.toml", '[instance]\nid = "I1"\n[platfrom]\n');
  const done = await commands.run(`serve --settings ${settings}`);
  t.is(done.code, EXIT.badInput);
  t.true(done.err.includes(settings));
  t.regex(done.err, /instance\.id: must be lower-case.*found "I1"/);
  t.regex(done.err, /unknown key "platfrom"; did you mean "platform"\?/);
});

test("every command has help and an example", (t) => {
  for (const command of COMMANDS) {
    t.true(command.help.length > 0, command.usage);
    t.true(command.examples.length > 0, command.usage);
  }
});
