/**
 * Order, hold and refusal of requests that an instance cannot start at once.
 *
 * @module
 */
export * from "./accept_hold.ts";
export * from "./entry_queue.ts";
