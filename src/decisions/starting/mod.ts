/**
 * Admission of requests while an instance starts.
 *
 * @module
 */
export * from "./start_gate.ts";
