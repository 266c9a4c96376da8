/**
 * Detection of lost links to the endpoints, and selection of instances that
 * serve requests in place of this one.
 *
 * @module
 */
export * from "./endpoint_links.ts";
export * from "./link_checker.ts";
export * from "./peer_choice.ts";
