/**
 * Selection of entry instances for look-up answers.
 *
 * @module
 */
export * from "./entry_chooser.ts";
