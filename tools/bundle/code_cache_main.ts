/**
 * Runs the daemon, and writes the code that was compiled meanwhile once it is
 * told to. `bundle` starts it; it is no program of its own.
 *
 * @module
 */
import { renameSync, writeFileSync } from "node:fs";
import { resolve } from "node:path";
import process from "node:process";
import { loadDaemon } from "./load_daemon.ts";
import { CODE_CACHE, DAEMON } from "./program.ts";

const script = loadDaemon(resolve(DAEMON));
process.on("SIGUSR2", () => {
  const part = `${CODE_CACHE}.part`;
  writeFileSync(part, script.createCachedData());
  renameSync(part, CODE_CACHE);
  process.exit(0);
});
