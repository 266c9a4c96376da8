/**
 * Membership of entry instances and assignment of seats to them.
 *
 * @module
 */
export * from "./duty.ts";
export * from "./leased_seats.ts";
export * from "./list_reader.ts";
export * from "./ranked_seats.ts";
export * from "./roster.ts";
export * from "./seat_timing.ts";
export * from "./seats.ts";
