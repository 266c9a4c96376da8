/**
 * A running entry instance.
 *
 * @module
 */
export * from "./document_follower.ts";
export * from "./instance.ts";
export * from "./instance_listeners.ts";
export * from "./component_overrides.ts";
export * from "./listener.ts";
export * from "./tick_loop.ts";
