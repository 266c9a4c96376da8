/**
 * Endpoint selection by affinity key, load, health and slow start.
 *
 * @module
 */
export * from "./affinity_placement.ts";
export * from "./pinned_demand.ts";
export * from "./slow_start_limiter.ts";
export * from "./retry_after_policy.ts";
export * from "./outlier_detector.ts";
export * from "./idle_timeouts.ts";
export * from "./least_load_placement.ts";
export * from "./endpoint_backoff.ts";
export * from "./endpoint_ranking.ts";
export * from "./occupancy.ts";
export * from "./placement.ts";
export * from "./region_weights.ts";
export * from "./latency_estimator.ts";
export * from "./weighted_round_robin.ts";
