/**
 * Retry policies and retry budgets.
 *
 * @module
 */
export * from "./retry_budget.ts";
export * from "./retry_policy.ts";
export * from "./shared_retry_budget.ts";
