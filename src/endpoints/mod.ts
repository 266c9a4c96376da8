/**
 * Calls and health checks of endpoints.
 *
 * @module
 */
export * from "./endpoint_client.ts";
export * from "./http_endpoint_client.ts";
export * from "./prober.ts";
