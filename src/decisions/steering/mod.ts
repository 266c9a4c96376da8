/**
 * Where work goes.
 *
 * @module
 */
export * from "./dispatcher.ts";
export * from "./round_robin_dispatcher.ts";
export * from "./slot_limits.ts";
