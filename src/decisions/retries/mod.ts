/**
 * Retries.
 *
 * @module
 */
export * from "./retry_budget.ts";
export * from "./retry_policy.ts";
