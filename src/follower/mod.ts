/**
 * Keeping up with what stands in the store.
 *
 * @module
 */
export * from "./resource_watcher.ts";
export * from "./resource_client.ts";
export * from "./relayed.ts";
