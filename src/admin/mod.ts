/**
 * The administration API.
 *
 * @module
 */
export * from "./admin_app.ts";
