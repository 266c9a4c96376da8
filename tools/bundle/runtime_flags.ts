/**
 * Flags of the runtime that the daemon is run with. The code cache is taken only
 * by a runtime with the same flags, so they are read where they are set.
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
const words = roles.entry.run.split(" ");

/**
 * Functions are compiled after nine times the usual work, and at once to
 * optimised code: an instance that restarts on a part of a core serves callers
 * before it has time for more.
 */
export const RUNTIME_FLAGS: readonly string[] = words.slice(
  1,
  words.indexOf(PROGRAM),
);
