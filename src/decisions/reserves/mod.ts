/**
 * Decides which instances callers are not sent to while others have ample room.
 *
 * @module
 */
export * from "./named_instances.ts";
export * from "./reserve_role.ts";
export * from "./utilization.ts";
