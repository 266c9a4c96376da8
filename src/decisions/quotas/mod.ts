/**
 * Rates of client accounts over the whole fleet, and the demand of all that has
 * a rate.
 *
 * @module
 */
export * from "./account_quotas.ts";
export * from "./demand_counter.ts";
export * from "./demand_shares.ts";
export * from "./demand_trend.ts";
export * from "./fleet_bucket.ts";
export * from "./fleet_demand.ts";
export * from "./gossip_delay.ts";
export * from "./rate_limit.ts";
export * from "./window_count.ts";
