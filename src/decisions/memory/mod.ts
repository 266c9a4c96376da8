/**
 * Memory for what an instance buffers.
 *
 * @module
 */
export * from "./budget_size.ts";
export * from "./byte_budget.ts";
export * from "./process_memory.ts";
export * from "./response_memory.ts";
export * from "./response_sizes.ts";
