/**
 * Fleet-wide rate limits of client accounts, and the fleet's demand for all
 * accounts and endpoints with a rate limit.
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
export * from "./sliding_window_counter.ts";
export { EwmaRate } from "./ewma_rate.ts";
export { unreportedMs } from "./window_admission.ts";
