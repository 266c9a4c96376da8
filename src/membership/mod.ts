/**
 * Membership of entry instances and assignment of seats to them.
 *
 * @module
 */
export * from "./rendezvous_owner.ts";
export * from "./leased_seats.ts";
export * from "./instance_list_poller.ts";
export * from "./ranked_seats.ts";
export * from "./roster.ts";
export * from "./seat_timing.ts";
export * from "./seats.ts";
