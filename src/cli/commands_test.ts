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
import { TestCommands } from "./testing/test_context.ts";

const AT = "--platform http://store";

async function setup(t: ExecutionContext) {
  const clock = new SystemClock();
  const platform = new FaultyPlatform(new MemoryPlatform(clock), clock);
  const empty = new MemoryPlatform(clock);
  const commands = new TestCommands(
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
  const fill = async () => {
    for (const [name, path] of Object.entries(sections)) {
      const done = await commands.run(`apply ${name} ${path} ${AT}`);
      t.is(done.code, EXIT.ok, done.err);
    }
  };
  return { commands, platform, dir, file, sections, fill };
}

test("check accepts a directory of sections", async (t) => {
  const { commands, dir } = await setup(t);
  const done = await commands.run(`check ${dir} --json`);
  t.is(done.code, EXIT.ok, done.err);
  t.deepEqual(JSON.parse(done.out).sections, ["accounts", "rates", "regions"]);
});

test("check names file, path, the nearest key and what is allowed", async (t) => {
  const { commands, dir, file } = await setup(t);
  await file("rates.json", '{"rates":{"a1":{"rate_per_s":0,"brust":9}}}');
  const done = await commands.run(`check ${dir}`);
  t.is(done.code, EXIT.badInput);
  t.regex(done.err, /rates\.rates\.a1\.rate_per_s: Too small.*found 0/);
  t.regex(done.err, /unknown key "brust"; did you mean "burst"\?/);
});

test("apply puts a TOML and a JSON section in force", async (t) => {
  const { commands, fill } = await setup(t);
  await fill();
  const shown = await commands.run(`show rates --json ${AT}`);
  const { value, version, author } = JSON.parse(shown.out);
  t.deepEqual(value, { rates: { a1: { rate_per_s: 5, burst: 9 } } });
  t.is(version, 2);
  t.is(author, "tester");
});

test("apply refuses a section that is wrong, and changes nothing", async (t) => {
  const { commands, fill, file } = await setup(t);
  await fill();
  const bad = await file(
    "bad.json",
    '{"rates":{"nobody":{"rate_per_s":1,"burst":1}}}',
  );
  const done = await commands.run(`apply rates ${bad} ${AT}`);
  t.is(done.code, EXIT.badInput);
  t.regex(done.err, /rates\.nobody: names account nobody/);
  const shown = await commands.run(`show --json ${AT}`);
  t.is(JSON.parse(shown.out).generation, 3);
});

test("apply on a version that another editor has passed says who changed what", async (t) => {
  // Two operators edit the same section. The slower one must learn whose
  // change it would have undone.
  const { commands, fill, sections } = await setup(t);
  await fill();
  await commands.run(`apply rates ${sections.rates} --author rival ${AT}`);
  const lost = await commands.run(
    `apply rates ${sections.rates} --expect 2 ${AT}`,
  );
  t.is(lost.code, EXIT.conflict);
  t.regex(lost.err, /rates: section is at version 4, changed by rival at /);
});

test("show without a section lists versions and authors", async (t) => {
  const { commands, fill } = await setup(t);
  await fill();
  const shown = await commands.run(`show ${AT}`);
  t.regex(shown.out, /^generation 3\naccounts {2}version 1 {2}tester/);
});

test("export and import carry the whole document to an empty platform", async (t) => {
  const { commands, fill, dir } = await setup(t);
  await fill();
  const file = join(dir, "whole.json");
  t.is((await commands.run(`export ${file} ${AT}`)).code, EXIT.ok);
  const empty = "--platform http://empty";
  t.is((await commands.run(`import ${file} ${empty}`)).code, EXIT.ok);
  const [from, to] = [
    await commands.run(`export ${AT}`),
    await commands.run(`export ${empty}`),
  ];
  t.deepEqual(JSON.parse(to.out).sections, JSON.parse(from.out).sections);
  const again = await commands.run(`import ${file} ${empty}`);
  t.is(again.code, EXIT.conflict);
});

test("key issue prints the key once and stores its digest", async (t) => {
  const { commands, fill } = await setup(t);
  await fill();
  const issued = await commands.run(`key issue a1 --id k1 ${AT}`);
  t.is(issued.code, EXIT.ok, issued.err);
  const whole = await commands.run(`export ${AT}`);
  t.true(whole.out.includes(sha256(issued.out)));
  t.false(whole.out.includes(issued.out));
});

test("key issue for a mistyped account names the nearest", async (t) => {
  const { commands, fill } = await setup(t);
  await fill();
  const refused = await commands.run(`key issue a11 ${AT}`);
  t.is(refused.code, EXIT.badInput);
  t.regex(refused.err, /unknown account "a11"; did you mean "a1"\?/);
});

test("key withdraw marks the key and keeps its name taken", async (t) => {
  const { commands, fill } = await setup(t);
  await fill();
  await commands.run(`key issue a1 --id k1 ${AT}`);
  const done = await commands.run(`key withdraw a1 k1 --json ${AT}`);
  t.is(done.code, EXIT.ok, done.err);
  const accounts = JSON.parse((await commands.run(`show accounts ${AT}`)).out);
  t.true(accounts.accounts.a1.keys[0].withdrawn);
  const again = await commands.run(`key issue a1 --id k1 ${AT}`);
  t.is(again.code, EXIT.conflict);
});

test("drain add, list and remove", async (t) => {
  const { commands, fill } = await setup(t);
  await fill();
  t.is((await commands.run(`drain add zone gulf-a ${AT}`)).code, EXIT.ok);
  const list = await commands.run(`drain list --json ${AT}`);
  t.deepEqual(JSON.parse(list.out), [{ kind: "zone", id: "gulf-a" }]);
  t.is((await commands.run(`drain remove zone gulf-a ${AT}`)).code, EXIT.ok);
  t.is((await commands.run(`drain list ${AT}`)).out, "");
  const none = await commands.run(`drain remove zone gulf-a ${AT}`);
  t.is(none.code, EXIT.badInput);
});

test("a drain of a mistyped zone is refused", async (t) => {
  // The operator believes that a zone is being emptied before work on it, and
  // nothing is.
  const { commands, fill } = await setup(t);
  await fill();
  const refused = await commands.run(`drain add zone gulf-c ${AT}`);
  t.is(refused.code, EXIT.badInput);
  t.regex(refused.err, /unknown zone "gulf-c"; did you mean "gulf-a"\?/);
});

test("status prints the generation and the listed instances", async (t) => {
  const { commands, fill } = await setup(t);
  await fill();
  const status = await commands.run(`status --json ${AT}`);
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
  test(`apply while the store has its fault: ${row.name}`, async (t) => {
    // The operator's script goes by the exit code: only 0 may mean that the
    // edit is in force, and only 5 that it may be.
    const { commands, platform, sections } = await setup(t);
    Object.assign(platform.faults, row.faults);
    const done = await commands.run(
      `apply accounts ${sections.accounts} ${AT}`,
    );
    t.is(done.code, row.code as typeof done.code, done.err);
  });
}

test("serve runs an instance until it is asked to end", async (t) => {
  const { file } = await setup(t);
  const store = await StoreServer.open();
  const settings = await file(
    "settings.toml",
    `[instance]\nid = "i1"\nzone = "gulf-a"\nregion = "gulf"\n[platform]\nurl = "${store.url}"\n`,
  );
  const commands = new TestCommands();
  const lines: string[] = [];
  const done = await commands.run(`serve --settings ${settings}`, (line) => {
    lines.push(line);
    setImmediate(() => commands.stop());
  });
  t.is(done.code, EXIT.ok, done.err);
  t.is(JSON.parse(lines[0] ?? "").event, "serving");
  await store.close();
});

test("serve refuses wrong settings with file, path, found and allowed", async (t) => {
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
