/**
 * Decisions at an instance's start.
 *
 * @module
 */
export * from "./start_gate.ts";
