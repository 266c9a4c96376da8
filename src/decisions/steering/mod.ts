/**
 * Where work goes.
 *
 * @module
 */
export * from "./dispatcher.ts";
export * from "./round_robin_dispatcher.ts";
