/**
 * Forwards requests to other availability zones and regions.
 *
 * @module
 */
export * from "./forwarded_admission.ts";
export * from "./capacity_grants.ts";
export * from "./link_budgets.ts";
export * from "./region_dispatcher.ts";
export * from "./remote_capacity_table.ts";
export * from "./remote_demand.ts";
