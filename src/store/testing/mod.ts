/**
 * Fault-injecting platform, for tests.
 *
 * @module
 */
export * from "./faulty_platform.ts";
