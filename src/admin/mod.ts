/**
 * The administration API.
 *
 * @module
 */
export * from "./access.ts";
export * from "./admin_app.ts";
export * from "./routes.ts";
export * from "./status.ts";
