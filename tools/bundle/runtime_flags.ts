/**
 * The Node.js flags that the daemon runs with. The runtime accepts the code cache
 * only under the same flags, so they are read from the deployment file.
 *
 * @module
 */
import { readFileSync } from "node:fs";
import { parse } from "smol-toml";
import { z } from "zod";
import { PROGRAM } from "./program.ts";

const DeployFile = z.looseObject({
  roles: z.looseObject({ entry: z.looseObject({ run: z.string() }) }),
});

const { roles } = DeployFile.parse(
  parse(readFileSync("deploy/system.toml", "utf8")),
);
const runCommand = roles.entry.run.split(" ");

/**
 * Functions are compiled only after nine times the default amount of execution,
 * and then directly to optimised code: an instance that restarts on a fraction of
 * a core has to serve callers before it has CPU time to spare for compilation.
 */
export const RUNTIME_FLAGS: readonly string[] = runCommand.slice(
  1,
  runCommand.indexOf(PROGRAM),
);
