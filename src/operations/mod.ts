/**
 * At most once.
 *
 * @module
 */
export * from "./local_operations.ts";
export * from "./operations.ts";
