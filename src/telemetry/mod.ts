/**
 * Logs on standard output and metrics as text.
 *
 * @module
 */
export * from "./json_log.ts";
export * from "./text_metrics.ts";
