/**
 * The HTTP servers for callers and for forwarded requests.
 *
 * @module
 */
export * from "./caller_app.ts";
export * from "./forward_app.ts";
export * from "./forwarding.ts";
export * from "./headers.ts";
export * from "./api_key_table.ts";
export * from "./operation_dispatch.ts";
export * from "./operation_request.ts";
export * from "./pacing.ts";
export * from "./failure_response.ts";
export * from "./relay.ts";
export * from "./request_pipeline.ts";
export * from "./routes.ts";
export * from "./slot_sender.ts";
