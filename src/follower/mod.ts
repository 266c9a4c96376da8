/**
 * Keeping up with what stands in the store.
 *
 * @module
 */
export * from "./kind_follower.ts";
export * from "./kind_source.ts";
export * from "./relayed.ts";
