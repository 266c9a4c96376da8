/**
 * Fleet-wide rate limits that overloaded endpoints announce.
 *
 * @module
 */
export * from "./limit_register.ts";
export * from "./limited_sends.ts";
