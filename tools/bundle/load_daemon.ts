/**
 * Runs the daemon's file in this process.
 *
 * @module
 */
import type { Buffer } from "node:buffer";
import { readFileSync } from "node:fs";
import { createRequire } from "node:module";
import { Script } from "node:vm";

/**
 * @param file The absolute path of the daemon's file.
 * @param cachedData V8 code cache; if the runtime rejects it, the file is
 * compiled as usual.
 */
export function loadDaemon(file: string, cachedData?: Buffer): Script {
  const source = readFileSync(file, "utf8");
  const script = new Script(source, { filename: file, cachedData });
  script.runInThisContext()(createRequire(file));
  return script;
}
