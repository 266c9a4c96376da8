import test from "ava";
import { execFile } from "node:child_process";
import process from "node:process";
import { promisify } from "node:util";
import { stop } from "esbuild";
import { bundle } from "./bundle.ts";
import { makeCodeCache } from "./code_cache.ts";
import { CODE_CACHE, DAEMON, PROGRAM } from "./program.ts";
import { RUNTIME_FLAGS } from "./runtime_flags.ts";

const run = promisify(execFile);

// esbuild's child process would otherwise keep this process running.
test.after.always(() => void stop());

// Guards against a code cache that the runtime rejects, which only costs time.
test("the bundled program runs and the runtime accepts its code cache", async (t) => {
  await bundle();
  t.true(await makeCodeCache());
  const cacheCheckScript = `
    const { readFileSync } = require("fs");
    const script = new (require("vm").Script)(
      readFileSync("${DAEMON}", "utf8"),
      { cachedData: readFileSync("${CODE_CACHE}") },
    );
    console.log(script.cachedDataRejected);
  `;
  const cacheCheck = await run(process.execPath, [
    ...RUNTIME_FLAGS,
    "-e",
    cacheCheckScript,
  ]);
  t.is(cacheCheck.stdout.trim(), "false");
  const env = { ...process.env, MAGNOLIAHOOK_SETTINGS: "/dev/null" };
  const failed = await t.throwsAsync(
    run(process.execPath, [...RUNTIME_FLAGS, PROGRAM], { env }),
  ) as Error & { readonly code: number; readonly stderr: string };
  t.is(failed.code, 2);
  t.regex(failed.stderr, /instance/);
});
