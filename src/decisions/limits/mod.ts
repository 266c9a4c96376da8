/**
 * Who may send how much.
 *
 * @module
 */
export * from "./fixed_split_limiter.ts";
export * from "./rate_limiter.ts";
export * from "./token_bucket.ts";
