/**
 * Which endpoint a request goes to: by object, load, health and cold starts.
 *
 * @module
 */
export * from "./affinity_placement.ts";
export * from "./bound_demand.ts";
export * from "./cold_limits.ts";
export * from "./come_back.ts";
export * from "./endpoint_verdicts.ts";
export * from "./idle_limits.ts";
export * from "./least_load_placement.ts";
export * from "./object_ranking.ts";
export * from "./occupancy.ts";
export * from "./placement.ts";
export * from "./region_weights.ts";
export * from "./usual_times.ts";
export * from "./weighted_choice.ts";
