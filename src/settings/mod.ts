/**
 * Settings of an entry instance.
 *
 * @module
 */
export * from "./settings.ts";
