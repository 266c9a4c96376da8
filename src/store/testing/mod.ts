/**
 * Platforms that misbehave, for tests.
 *
 * @module
 */
export * from "./faulty_platform.ts";
