/**
 * The steering document: its schemas, its checks, and its place in the store.
 *
 * @module
 */
export * from "./content_store.ts";
export * from "./document.ts";
export * from "./document_store.ts";
export * from "./drain_edit.ts";
export * from "./key_edit.ts";
export * from "./in_force.ts";
export * from "./manifest.ts";
export * from "./section_edit.ts";
export * from "./sections.ts";
export * from "./site_blocks.ts";
export { sha256 } from "../core/mod.ts";
