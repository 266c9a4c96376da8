/**
 * Fleet-wide rate limits that overloaded endpoints announce.
 *
 * @module
 */
export * from "./limit_table.ts";
export * from "./endpoint_rate_limiter.ts";
export * from "./limit_state.ts";
