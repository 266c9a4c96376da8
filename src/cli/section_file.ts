/**
 * File formats of sections and whole documents.
 *
 * @module
 */
import { readdir } from "node:fs/promises";
import { join } from "node:path";
import { err, ok, type Result } from "neverthrow";
import { parse } from "smol-toml";
import { z } from "zod";
import { fail, type Failure, fromZod, strict } from "../core/mod.ts";
import type { RawSections } from "../document/mod.ts";
import type { CliContext } from "./context.ts";

const FORMAT = "magnoliahook-document/1";

/** A whole document in one file, as `export` writes it. */
export const DocumentFile = strict({
  format: z.literal(FORMAT),
  generation: z.number().int().nonnegative(),
  sections: z.record(z.string(), z.unknown()),
});
export type DocumentFile = z.infer<typeof DocumentFile>;

/** Formats a whole document as JSON. */
export function formatDocument(
  generation: number,
  sections: RawSections,
): string {
  const file: DocumentFile = { format: FORMAT, generation, sections };
  return JSON.stringify(file, undefined, 2) + "\n";
}

/** Reads a file as TOML if its name ends in `.toml`, otherwise as JSON. */
export async function readJsonOrToml(
  ctx: CliContext,
  file: string,
): Promise<Result<unknown, Failure>> {
  let text: string;
  try {
    text = await ctx.readFile(file);
  } catch (cause) {
    return fail("bad_section", `cannot read ${file}: ${String(cause)}`);
  }
  try {
    return ok(file.endsWith(".toml") ? parse(text) : JSON.parse(text));
  } catch (cause) {
    const kind = file.endsWith(".toml") ? "TOML" : "JSON";
    return fail("bad_section", `${file} is not ${kind}: ${String(cause)}`);
  }
}

/** Reads an exported document. */
export async function readDocumentFile(
  ctx: CliContext,
  file: string,
): Promise<Result<RawSections, Failure>> {
  const value = await readJsonOrToml(ctx, file);
  if (value.isErr()) return err(value.error);
  const parsed = DocumentFile.safeParse(value.value, { reportInput: true });
  if (parsed.success) return ok(parsed.data.sections);
  const failure = fromZod("bad_document", parsed.error);
  return err({ ...failure, message: `${file}: ${failure.message}` });
}

/**
 * Reads a directory of sections: `rates.toml` is the section `rates`,
 * `services/crewdesk.json` is `services/crewdesk`.
 */
export async function readSectionDirectory(
  ctx: CliContext,
  directory: string,
): Promise<Result<RawSections, Failure>> {
  const files = await readdir(directory, { recursive: true });
  const sections: Record<string, unknown> = {};
  for (const file of files.sort()) {
    const name = /^(.+)\.(toml|json)$/.exec(file)?.[1];
    if (name === undefined) continue;
    const value = await readJsonOrToml(ctx, join(directory, file));
    if (value.isErr()) return err(value.error);
    sections[name.replaceAll("\\", "/")] = value.value;
  }
  return ok(sections);
}
