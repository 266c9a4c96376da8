/**
 * The platform: one interface, in memory and over HTTP.
 *
 * @module
 */
export * from "./http_platform.ts";
export * from "./memory_platform.ts";
export * from "./platform.ts";
