/**
 * Platform interface, with in-memory and HTTP implementations.
 *
 * @module
 */
export * from "./http_platform.ts";
export * from "./memory_platform.ts";
export * from "./platform.ts";
