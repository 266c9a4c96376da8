/**
 * Runs operations that are not idempotent at most once.
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
export * from "./replica_table.ts";
export * from "./backup_writer.ts";
