/**
 * Transport and exchange of messages between instances.
 *
 * @module
 */
export * from "./connect_transport.ts";
export * from "./batch_stream.ts";
export * from "./peer_exchange.ts";
export * from "./peer_server.ts";
export * from "./transport.ts";
