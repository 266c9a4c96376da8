/**
 * Which instances there are, and which seats they hold.
 *
 * @module
 */
export * from "./ranked_seats.ts";
export * from "./roster.ts";
export * from "./seats.ts";
