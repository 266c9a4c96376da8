/**
 * Rates that endpoints in need take from the whole fleet.
 *
 * @module
 */
export * from "./limit_register.ts";
export * from "./limited_sends.ts";
