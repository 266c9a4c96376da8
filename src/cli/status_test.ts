import test, { type ExecutionContext } from "ava";
import { mkdtemp, rm, writeFile } from "node:fs/promises";
import { createServer } from "node:http";
import { tmpdir } from "node:os";
import { join } from "node:path";
import {
  MemoryMetrics,
  SeededRandom,
  SilentLog,
  SystemClock,
} from "../core/mod.ts";
import { DocumentStore, type SectionName, sha256 } from "../document/mod.ts";
import { boundPort, listenAt } from "../edge/mod.ts";
import { startTestInstance } from "../instance/testing/test_instance.ts";
import { EXIT } from "./exit.ts";
import { CommandRunner } from "./testing/command_runner.ts";

const TOKEN = "role-token";
const MAX_TRIES = 200;

async function setup(t: ExecutionContext, admin?: string) {
  const one = await startTestInstance({
    log: new SilentLog(),
    metrics: new MemoryMetrics(),
  });
  t.teardown(() => one.close());
  const store = new DocumentStore({
    platform: one.platform,
    clock: new SystemClock(),
    random: new SeededRandom(3),
  });
  const access = {
    roles: { ops: { token_sha256: sha256(TOKEN), edits: ["*"] } },
  };
  const name = "access" as SectionName;
  await store.apply({ author: "t", sections: new Map([[name, access]]) });
  const status = (env: Record<string, string>) => {
    const platforms = new Map([["http://store", one.platform]]);
    const at = `--admin ${
      admin ?? one.instance.adminUrl
    } --platform http://store`;
    return new CommandRunner(platforms, env).run(`status --json ${at}`);
  };
  return { status };
}

/** The token is valid once the section is in force, which takes seconds. */
async function retryUntilOk(
  run: () => Promise<{ code: number; out: string }>,
): Promise<{ code: number; out: string }> {
  let last = await run();
  for (let i = 0; i < MAX_TRIES && last.code !== EXIT.ok; i++) {
    await new Promise((resolve) => setTimeout(resolve, 25));
    last = await run();
  }
  return last;
}

test("status queries an instance with a token from the environment or a file", async (t) => {
  const { status } = await setup(t);
  const byEnv = await retryUntilOk(() => status({ MAGNOLIAHOOK_TOKEN: TOKEN }));
  t.is(JSON.parse(byEnv.out).own.instance, "i1");
  const dir = await mkdtemp(join(tmpdir(), "magnoliahook-token-"));
  t.teardown(() => rm(dir, { recursive: true }));
  const file = join(dir, "token");
  await writeFile(file, `${TOKEN}\n`);
  const byFile = await status({ MAGNOLIAHOOK_TOKEN_FILE: file });
  t.is(byFile.code, EXIT.ok, byFile.err);
});

test("status without a valid token is refused", async (t) => {
  const { status } = await setup(t);
  const refused = await status({ MAGNOLIAHOOK_TOKEN: "guess" });
  t.is(refused.code, EXIT.failed);
  t.regex(refused.err, /forbidden/);
});

// Guards against operators who look for a wrong token while an instance starts.
test("status names an instance that is not ready as such", async (t) => {
  const server = createServer((_req, res) => {
    res.writeHead(503, { "content-type": "application/json" }).end("{}");
  });
  t.teardown(() => server.close());
  await listenAt(server, "127.0.0.1:0");
  const { status } = await setup(t, `http://127.0.0.1:${boundPort(server)}`);
  const refused = await status({ MAGNOLIAHOOK_TOKEN: TOKEN });
  t.is(refused.code, EXIT.unavailable);
  t.regex(refused.err, /not_ready/);
});
