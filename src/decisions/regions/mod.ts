/**
 * Forwards requests to other availability zones and regions.
 *
 * @module
 */
export * from "./forwarded_intake.ts";
export * from "./headroom_grants.ts";
export * from "./link_budgets.ts";
export * from "./region_dispatcher.ts";
export * from "./remote_rooms.ts";
export * from "./remote_demand.ts";
