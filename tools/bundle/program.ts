/**
 * Paths of the files that make up the bundle.
 *
 * @module
 */

/** The entry point; it loads the two files below. */
export const PROGRAM = "target/magnoliahook.cjs";
/** The daemon and its libraries. */
export const DAEMON = "target/daemon.cjs";
/** The daemon's V8 code cache; absent if it could not be written. */
export const CODE_CACHE = "target/daemon.cache";
