/**
 * Fleet-wide budgets: shares that each instance spends without coordination,
 * and loans that move shares to where the demand is. The shares of all
 * instances never add up to more than the total.
 *
 * @module
 */
export * from "./budget_exchange.ts";
export * from "./budget_table.ts";
export * from "./invariant.ts";
export * from "./lease.ts";
export * from "./rate_budgets.ts";
export type { RateRow } from "./rate_row.ts";
export * from "./seat_shares.ts";
export * from "./slot_budgets.ts";
