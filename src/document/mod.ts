/**
 * The steering document: schemas, validation, storage and edits.
 *
 * @module
 */
export * from "./content_store.ts";
export * from "./document.ts";
export * from "./document_store.ts";
export * from "./drain_edit.ts";
export * from "./key_edit.ts";
export * from "./assemble_document.ts";
export * from "./manifest.ts";
export * from "./section_edit.ts";
export * from "./sections.ts";
export * from "./site_blocks.ts";
export { sha256 } from "../core/mod.ts";
