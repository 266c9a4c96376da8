/**
 * Runs the daemon and, on SIGUSR2, writes the code compiled so far to the cache.
 * Started by `makeCodeCache`; not meant to be run by hand.
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
  const temporaryFile = `${CODE_CACHE}.part`;
  writeFileSync(temporaryFile, script.createCachedData());
  renameSync(temporaryFile, CODE_CACHE);
  process.exit(0);
});
