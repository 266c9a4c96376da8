/**
 * From a manifest and its contents to the document in force.
 *
 * A section that this program cannot use (a newer schema, a broken value)
 * keeps the content that was in force before. What goes wrong otherwise: one
 * team's bad section holds back another team's withdrawn key, which shows as a
 * key that works long after it was withdrawn.
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

/** A manifest that may name sections and fields of a newer program. */
export const AnyManifest = z.object({
  generation: z.number().int().nonnegative(),
  write_id: z.string().max(100),
  sections: z.record(
    z.string(),
    z.object(ManifestEntry.shape),
  ),
});
export type AnyManifest = z.infer<typeof AnyManifest>;

/** Reads a manifest's text, also one that a newer program wrote. */
export function parseAnyManifest(text: string): Result<AnyManifest, Failure> {
  try {
    const parsed = AnyManifest.safeParse(JSON.parse(text));
    if (parsed.success) return ok(parsed.data);
    return err(fromZod("bad_document", parsed.error));
  } catch {
    return fail("bad_document", "the manifest is not JSON");
  }
}

/** A section's content: JSON as it stands in the store, with its digest. */
export interface SectionContent {
  readonly digest: string;
  readonly value: unknown;
}

/** What can be put in force. */
export interface Assembled {
  readonly accepted: AcceptedDocument;
  /** The digest of what is in force of each section. */
  readonly digests: ReadonlyMap<string, string>;
  /** What of the manifest is not in force, and why. */
  readonly rejected: readonly Failure[];
}

/**
 * Puts a document together; `before` stands in for sections that cannot be
 * used. Fails where the sections do not fit together even so.
 *
 * @example
 * ```ts
 * const assembled = assemble(manifest, contents, { before: new Map(), parse: parseSection });
 * ```
 */
export function assemble(
  manifest: AnyManifest,
  contents: ReadonlyMap<string, SectionContent>,
  { before, parse }: {
    before: ReadonlyMap<string, SectionContent>;
    parse: SectionParser;
  },
): Result<Assembled, Failure> {
  const raw: Record<string, unknown> = {};
  const sections: Record<string, ManifestEntry> = {};
  const digests = new Map<string, string>();
  const rejected: Failure[] = [];
  for (const [name, entry] of Object.entries(manifest.sections)) {
    const wanted = usable(name, contents.get(name), parse);
    if (wanted.isErr()) rejected.push(wanted.error);
    const content = wanted.isOk()
      ? wanted.value
      : usable(name, before.get(name), parse).unwrapOr(undefined);
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

function usable(
  name: string,
  content: SectionContent | undefined,
  parse: SectionParser,
): Result<SectionContent, Failure> {
  if (!SectionName.safeParse(name).success) {
    return err(
      failure("bad_section", "is not known to this version", { path: [name] }),
    );
  }
  if (content === undefined) {
    return fail("bad_section", "has no usable content", { path: [name] });
  }
  return parse(name, content.value).map(() => content);
}
