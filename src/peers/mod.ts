/**
 * Messages between instances.
 *
 * @module
 */
export * from "./connect_transport.ts";
export * from "./peer_exchange.ts";
export * from "./transport.ts";
