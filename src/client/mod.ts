/**
 * The caller library.
 *
 * @module
 */
export * from "./client.ts";
