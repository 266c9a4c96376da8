/**
 * Look-up answers.
 *
 * @module
 */
export * from "./lookup.ts";
