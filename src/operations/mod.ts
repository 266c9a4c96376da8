/**
 * At most once.
 *
 * @module
 */
export * from "./home_operations.ts";
export * from "./home_seat.ts";
export * from "./home_token.ts";
export * from "./ledger.ts";
export * from "./local_operations.ts";
export * from "./operations.ts";
export * from "./owned_operations.ts";
export * from "./places.ts";
export * from "./second_places.ts";
