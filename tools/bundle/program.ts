/**
 * What the bundle consists of, and how it is run.
 *
 * @module
 */

/** The program that is run; it loads the two files below. */
export const PROGRAM = "target/magnoliahook.cjs";
/** The daemon and its libraries. */
export const DAEMON = "target/daemon.cjs";
/** Compiled code of the daemon, if it could be made. */
export const CODE_CACHE = "target/daemon.cache";
/** Flags of the runtime, as in `deploy/system.toml`. */
export const RUNTIME_FLAGS = [
  "--max-old-space-size=200",
  // Functions are compiled after nine times the usual work, and at once to
  // optimised code: an instance that restarts on a part of a core serves callers
  // before it has time for more.
  "--interrupt-budget=600000",
  "--no-sparkplug",
];
