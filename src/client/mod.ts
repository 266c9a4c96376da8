/**
 * The client library.
 *
 * @module
 */
export * from "./client.ts";
