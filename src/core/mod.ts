/**
 * Foundation of all other modules: ids, failures, time, random numbers, logs
 * and metrics.
 *
 * @module
 */
export * from "./cancel_signal.ts";
export * from "./clock.ts";
export * from "./connect_timeout.ts";
export * from "./deadline.ts";
export * from "./failure.ts";
export * from "./hash.ts";
export * from "./http_client.ts";
export * from "./http_status.ts";
export * from "./ids.ts";
export * from "./log.ts";
export * from "./log_sampling.ts";
export * from "./log_table.ts";
export * from "./metric_table.ts";
export * from "./metrics.ts";
export * from "./nearest_name.ts";
export * from "./packed_json.ts";
export * from "./random.ts";
export * from "./retry_after.ts";
export * from "./rounding.ts";
export * from "./sha256.ts";
export * from "./stop_signal.ts";
export * from "./strict.ts";
