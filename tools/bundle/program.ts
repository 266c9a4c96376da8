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
