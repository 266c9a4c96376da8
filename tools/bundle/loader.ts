/**
 * Runs the daemon with the code cache written at build time.
 *
 * A restarted instance runs most functions once or twice, so compiling them is
 * a large part of its startup. The runtime checks the cache against its version,
 * its flags and the source, and compiles as usual on a mismatch.
 *
 * @module
 */
import { existsSync, readFileSync } from "node:fs";
import { basename, dirname, join } from "node:path";
import process from "node:process";
import { loadDaemon } from "./load_daemon.ts";
import { CODE_CACHE, DAEMON } from "./program.ts";

// Without a handler SIGHUP ends the process. The daemon's own is in place before
// the event loop runs, so it also receives a signal that arrives until then.
process.on("SIGHUP", () => {});

const dir = dirname(__filename);
const cache = join(dir, basename(CODE_CACHE));
loadDaemon(
  join(dir, basename(DAEMON)),
  existsSync(cache) ? readFileSync(cache) : undefined,
);
