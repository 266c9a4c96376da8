/**
 * The manifest names every section's content by hash under one generation.
 * Replacing it is the single conditional write by which a document is
 * accepted, so that no instance can ever see half a change.
 *
 * @module
 */
import { z } from "zod";
import { SectionName } from "./sections.ts";

/** Where one section stands in a manifest. */
export const ManifestEntry = z.strictObject({
  /**
   * The generation that changed this section last. Unlike a count of its own
   * it does not begin anew when the section is removed and made again, so an
   * edit made before that cannot pass for one made after it.
   */
  version: z.number().int().positive(),
  sha256: z.string().regex(/^[0-9a-f]{64}$/),
  /** Who last changed it. */
  author: z.string().max(200),
  /** When, in milliseconds since the Unix epoch; for people only. */
  changed_at: z.number().nonnegative(),
});
export type ManifestEntry = z.infer<typeof ManifestEntry>;

/** The accepted state of all sections. */
export const Manifest = z.strictObject({
  generation: z.number().int().nonnegative(),
  /** Unique to the write, so that an editor whose answer was lost knows its own. */
  write_id: z.string().max(100),
  sections: z.record(SectionName, ManifestEntry),
});
export type Manifest = z.infer<typeof Manifest>;

/** The store key of the manifest. */
export const MANIFEST_KEY = "document/manifest";

/** The store key of a section's content; the same content has the same key. */
export function contentKey(sha256: string): string {
  return `document/content/${sha256}`;
}

/** What a platform without any document starts from. */
export const EMPTY_MANIFEST: Manifest = {
  generation: 0,
  write_id: "",
  sections: {},
};

/** Writes a section the same way whatever order its fields came in. */
export function canonicalJson(value: unknown): string {
  return JSON.stringify(value, (_key, v) => sorted(v));
}

function sorted(value: unknown): unknown {
  if (value === null || typeof value !== "object" || Array.isArray(value)) {
    return value;
  }
  const entries = Object.entries(value).sort(([a], [b]) => a < b ? -1 : 1);
  return Object.fromEntries(entries);
}
