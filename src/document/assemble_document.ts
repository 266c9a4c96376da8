/**
 * Builds the active document (event `document_in_force`) from a manifest and
 * its contents.
 *
 * A section that this version cannot use (newer schema, invalid value) keeps its
 * previously active content. Otherwise one team's invalid section would block
 * another team's withdrawal of a key, which would stay valid long after.
 *
 * @module
 */
import { err, ok, type Result } from "neverthrow";
import { z } from "zod";
import { fail, type Failure, failure, fromZod } from "../core/mod.ts";
import { parseDocument, type SectionParser } from "./document.ts";
import type { AcceptedDocument } from "./document_store.ts";
import { type Manifest, ManifestEntry } from "./manifest.ts";
import { SectionName } from "./sections.ts";

/** A manifest that may have sections and fields of a newer version. */
export const LenientManifest = z.object({
  generation: z.number().int().nonnegative(),
  write_id: z.string().max(100),
  sections: z.record(
    z.string(),
    z.object(ManifestEntry.shape),
  ),
});
export type LenientManifest = z.infer<typeof LenientManifest>;

/** Parses a manifest's text, including one that a newer version wrote. */
export function parseLenientManifest(
  text: string,
): Result<LenientManifest, Failure> {
  try {
    const parsed = LenientManifest.safeParse(JSON.parse(text));
    if (parsed.success) return ok(parsed.data);
    return err(fromZod("bad_document", parsed.error));
  } catch {
    return fail("bad_document", "the manifest is not valid JSON");
  }
}

/** A section's content: the stored JSON value and its digest. */
export interface SectionContent {
  readonly digest: string;
  readonly value: unknown;
}

/** A document that is ready to become active. */
export interface AssembledDocument {
  readonly accepted: AcceptedDocument;
  /** Digest of each section's content in the document. */
  readonly digests: ReadonlyMap<string, string>;
  /** Why sections of the manifest are not in the document. */
  readonly rejected: readonly Failure[];
}

/**
 * Assembles a document from a manifest. A section that cannot be used falls back
 * to its content in `previous`. Fails if the result is inconsistent.
 *
 * @example
 * ```ts
 * const options = { previous: new Map(), parse: parseSection };
 * const assembled = assembleDocument(manifest, contents, options);
 * ```
 */
export function assembleDocument(
  manifest: LenientManifest,
  contents: ReadonlyMap<string, SectionContent>,
  { previous, parse }: {
    previous: ReadonlyMap<string, SectionContent>;
    parse: SectionParser;
  },
): Result<AssembledDocument, Failure> {
  const raw: Record<string, unknown> = {};
  const sections: Record<string, ManifestEntry> = {};
  const digests = new Map<string, string>();
  const rejected: Failure[] = [];
  for (const [name, entry] of Object.entries(manifest.sections)) {
    const candidate = usableContent(name, contents.get(name), parse);
    if (candidate.isErr()) rejected.push(candidate.error);
    const content = candidate.isOk()
      ? candidate.value
      : usableContent(name, previous.get(name), parse).unwrapOr(undefined);
    if (content === undefined) continue;
    raw[name] = content.value;
    sections[name] = entry;
    digests.set(name, content.digest);
  }
  const { generation, write_id } = manifest;
  return parseDocument(raw, parse).map((document) => ({
    accepted: {
      manifest: { generation, write_id, sections } as Manifest,
      raw,
      document,
    },
    digests,
    rejected,
  }));
}

function usableContent(
  name: string,
  content: SectionContent | undefined,
  parse: SectionParser,
): Result<SectionContent, Failure> {
  if (!SectionName.safeParse(name).success) {
    return err(
      failure("bad_section", "is not a section name known to this version", {
        path: [name],
      }),
    );
  }
  if (content === undefined) {
    return fail("bad_section", "content is missing or corrupt", {
      path: [name],
    });
  }
  return parse(name, content.value).map(() => content);
}
