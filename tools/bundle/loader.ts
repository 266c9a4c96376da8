/**
 * Runs the daemon with the code that was compiled when it was built.
 *
 * A restarted instance runs most functions once or twice, so compiling them is
 * a large part of its start. The runtime checks the cache against its version,
 * its flags and the source, and compiles as usual where it does not fit.
 *
 * @module
 */
import { existsSync, readFileSync } from "node:fs";
import { createRequire } from "node:module";
import { dirname, join } from "node:path";
import { Script } from "node:vm";

const dir = dirname(__filename);
const daemon = join(dir, "daemon.cjs");
const cache = join(dir, "daemon.cache");
const script = new Script(readFileSync(daemon, "utf8"), {
  filename: daemon,
  cachedData: existsSync(cache) ? readFileSync(cache) : undefined,
});
script.runInThisContext()(createRequire(daemon));
