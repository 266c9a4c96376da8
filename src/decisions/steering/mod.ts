/**
 * Selects an endpoint of the own availability zone for each request.
 *
 * @module
 */
export * from "./dispatcher.ts";
export * from "./endpoint_row.ts";
export * from "./fair_dispatcher.ts";
export * from "./round_robin_dispatcher.ts";
export * from "./slot_limits.ts";
export * from "./probe_schedule.ts";
export * from "./rendezvous.ts";
