/**
 * Drains that the document declares.
 *
 * @module
 */
export * from "./drain_tracker.ts";
export * from "./drain_set.ts";
