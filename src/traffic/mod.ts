/**
 * Routing state: the traffic plan with its route table, and the registered
 * endpoints.
 *
 * @module
 */
export * from "./endpoint_table.ts";
export * from "./plan.ts";
export * from "./route_table.ts";
