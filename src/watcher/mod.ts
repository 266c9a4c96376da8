/**
 * Watches resources in the store and caches them.
 *
 * @module
 */
export * from "./resource_watcher.ts";
export * from "./resource_client.ts";
export * from "./relayed.ts";
export * from "./watch_calls.ts";
