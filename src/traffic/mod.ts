/**
 * What requests are steered by: the plan, the endpoints that registered
 * themselves, and the zones that are being evacuated.
 *
 * @module
 */
export * from "./endpoint_table.ts";
export * from "./plan.ts";
export * from "./route_table.ts";
