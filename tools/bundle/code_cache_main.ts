/**
 * Runs the daemon, and writes the code that was compiled meanwhile once it is
 * told to. `bundle` starts it; it is no program of its own.
 *
 * @module
 */
import { readFileSync, renameSync, writeFileSync } from "node:fs";
import { createRequire } from "node:module";
import { resolve } from "node:path";
import process from "node:process";
import { Script } from "node:vm";
import { CODE_CACHE, DAEMON } from "./program.ts";

const daemon = resolve(DAEMON);
const script = new Script(readFileSync(daemon, "utf8"), { filename: daemon });
script.runInThisContext()(createRequire(daemon));
process.on("SIGUSR2", () => {
  const part = `${CODE_CACHE}.part`;
  writeFileSync(part, script.createCachedData());
  renameSync(part, CODE_CACHE);
  process.exit(0);
});
