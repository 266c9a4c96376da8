/**
 * Budgets of the whole fleet: parts that each instance spends without asking,
 * and loans by which parts follow demand. The sum of all parts never passes
 * the total.
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
