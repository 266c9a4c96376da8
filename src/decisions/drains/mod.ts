/**
 * Planned drains.
 *
 * @module
 */
export * from "./drain_tracker.ts";
export * from "./drained.ts";
