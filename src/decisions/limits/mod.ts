/**
 * Rate limiters for client accounts, and their token buckets.
 *
 * @module
 */
export * from "./borrow_rounds.ts";
export * from "./fixed_split_limiter.ts";
export * from "./leased_limiter.ts";
export * from "./rate_limiter.ts";
export * from "./token_bucket.ts";
export * from "./retry_after_schedule.ts";
