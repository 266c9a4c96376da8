/**
 * Deployment mode in which endpoints register themselves, operators write one
 * plan, and every instance sends to every endpoint.
 *
 * @module
 */
export * from "./admission.ts";
export * from "./caller_server.ts";
export * from "./edge_instance.ts";
export * from "./edge_settings.ts";
export * from "./event_loop_lag.ts";
export * from "./endpoint_chooser.ts";
export * from "./endpoint_sender.ts";
export * from "./http_endpoint_sender.ts";
export * from "./instance_list.ts";
export * from "./listening.ts";
export * from "./access_log.ts";
export * from "./plain_server.ts";
export * from "./request_codec.ts";
export * from "./request_flow.ts";
export * from "./settings_in_force.ts";
export * from "./settings_watcher.ts";
export * from "./stop_plan.ts";
export * from "./traffic_state.ts";
export * from "./request_context.ts";
