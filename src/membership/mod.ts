/**
 * Which instances there are.
 *
 * @module
 */
export * from "./roster.ts";
