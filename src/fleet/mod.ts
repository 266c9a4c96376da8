/**
 * Membership and gossip among the instances.
 *
 * @module
 */
export * from "./address.ts";
export * from "./change_relay.ts";
export * from "./compact_digest.ts";
export * from "./datagrams.ts";
export * from "./digest.ts";
export * from "./digest_exchange.ts";
export * from "./directory.ts";
export * from "./fleet_aggregate.ts";
export * from "./fleet_feed.ts";
export * from "./fleet_member.ts";
export * from "./group_sums.ts";
export * from "./instance_profile.ts";
export * from "./limit_rows.ts";
export * from "./name_dictionary.ts";
export * from "./peer_table.ts";
export * from "./udp_transport.ts";
export * from "./zone_digest.ts";
export * from "./zone_roles.ts";
export * from "./zone_table.ts";
