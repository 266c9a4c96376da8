/**
 * Lookup of the site that a client address belongs to.
 *
 * @module
 */
export * from "./cidr.ts";
export * from "./client_site_map.ts";
export * from "./packed_blocks.ts";
export * from "./range_table.ts";
