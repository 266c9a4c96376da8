/**
 * The manifest lists every section's content digest under one generation. An
 * edit is accepted by a single conditional write that replaces the manifest, so
 * that no instance can see a partial change.
 *
 * @module
 */
import { z } from "zod";
import { SectionName } from "./sections.ts";

/** One section's entry in the manifest. */
export const ManifestEntry = z.strictObject({
  /**
   * The generation that last changed this section. Unlike a counter per section
   * it does not restart when the section is removed and recreated, so an edit
   * made on the old section still conflicts.
   */
  version: z.number().int().positive(),
  sha256: z.string().regex(/^[0-9a-f]{64}$/),
  author: z.string().max(200),
  /** Milliseconds since the Unix epoch; informational only. */
  changed_at: z.number().nonnegative(),
});
export type ManifestEntry = z.infer<typeof ManifestEntry>;

/** The accepted state of all sections. */
export const Manifest = z.strictObject({
  generation: z.number().int().nonnegative(),
  /** Unique per write; identifies one's own write after a lost response. */
  write_id: z.string().max(100),
  sections: z.record(SectionName, ManifestEntry),
});
export type Manifest = z.infer<typeof Manifest>;

/** The store key of the manifest. */
export const MANIFEST_KEY = "document/manifest";

/** The store key of a section's content, derived from its digest. */
export function contentKey(sha256: string): string {
  return `document/content/${sha256}`;
}

/** Stands for the manifest of a store that has none. */
export const EMPTY_MANIFEST: Manifest = {
  generation: 0,
  write_id: "",
  sections: {},
};

/** Serializes with sorted keys, so that equal sections have equal digests. */
export function canonicalJson(value: unknown): string {
  return JSON.stringify(value, (_key, v) => sortKeys(v));
}

function sortKeys(value: unknown): unknown {
  if (value === null || typeof value !== "object" || Array.isArray(value)) {
    return value;
  }
  const entries = Object.entries(value).sort(([a], [b]) => a < b ? -1 : 1);
  return Object.fromEntries(entries);
}
