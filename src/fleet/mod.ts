/**
 * The instances among themselves: who lives, and what they tell each other.
 *
 * @module
 */
export * from "./address.ts";
export * from "./digest.ts";
export * from "./digest_exchange.ts";
export * from "./directory.ts";
export * from "./peer_table.ts";
export * from "./udp_transport.ts";
