/**
 * Commands on the document: check, apply, show, export and import.
 *
 * @module
 */
import { stat } from "node:fs/promises";
import { err, ok, type Result } from "neverthrow";
import { fail, type Failure } from "../../core/mod.ts";
import {
  type Manifest,
  parseDocument,
  type RawSections,
  SectionName,
} from "../../document/mod.ts";
import {
  type CliContext,
  type CommonOptions,
  reportFailure,
  withPlatform,
} from "../context.ts";
import { EXIT, type ExitCode } from "../exit.ts";
import {
  formatDocument,
  readDocumentFile,
  readJsonOrToml,
  readSectionDirectory,
} from "../section_file.ts";

/** Checks an exported document or a directory of sections, without a platform. */
export async function check(
  ctx: CliContext,
  path: string,
  opts: CommonOptions,
): Promise<ExitCode> {
  const raw = await readSections(ctx, path);
  const document = raw.andThen(parseDocument);
  if (document.isErr()) {
    for (const issue of document.error.issues ?? []) {
      if (!opts.json) {
        ctx.err(`${path}: ${issue.path.join(".")}: ${issue.message}`);
      }
    }
    if (opts.json || !document.error.issues?.length) {
      return reportFailure(ctx, opts, document.error);
    }
    return EXIT.badInput;
  }
  const names = Object.keys(raw._unsafeUnwrap());
  ctx.out(
    opts.json
      ? JSON.stringify({ ok: true, sections: names })
      : `${names.length} sections are right: ${names.join(", ")}`,
  );
  return EXIT.ok;
}

/** Replaces a section by a file's content, on `version` or else the latest. */
export function apply(
  ctx: CliContext,
  { section, file, version }: {
    section: string;
    file: string;
    version?: number | undefined;
  },
  opts: CommonOptions,
): Promise<ExitCode> {
  return withPlatform(ctx, opts, async ({ store, author }) => {
    const name = sectionName(section);
    if (name.isErr()) return err(name.error);
    const value = await readJsonOrToml(ctx, file);
    if (value.isErr()) return err(value.error);
    const applied = await store.apply({
      author,
      sections: new Map([[name.value, value.value]]),
      ...(version === undefined
        ? {}
        : { expect: new Map([[name.value, version]]) }),
    });
    return applied.map(({ manifest }) => {
      const { generation } = manifest;
      ctx.out(
        opts.json
          ? JSON.stringify({ section, generation, version: generation })
          : `${section} is accepted with generation ${generation}`,
      );
    });
  });
}

/** Lists the sections, or prints one section's content. */
export function show(
  ctx: CliContext,
  section: string | undefined,
  opts: CommonOptions,
): Promise<ExitCode> {
  return withPlatform(ctx, opts, async ({ store }) => {
    const manifest = await store.manifest();
    if (manifest.isErr()) return err(manifest.error);
    if (section === undefined) {
      showManifest(ctx, manifest.value.value, opts);
      return ok(undefined);
    }
    const entry = manifest.value.value.sections[section as SectionName];
    if (entry === undefined) {
      return fail("not_found", `there is no section ${section}`);
    }
    const content = await store.content(entry.sha256);
    return content.map((value) => {
      const output = opts.json ? { ...entry, value } : value;
      ctx.out(JSON.stringify(output, undefined, opts.json ? 0 : 2));
    });
  });
}

/** Writes the whole document to a file or to standard output. */
export function exportDocument(
  ctx: CliContext,
  file: string | undefined,
  opts: CommonOptions,
): Promise<ExitCode> {
  return withPlatform(ctx, opts, async ({ store }) => {
    const manifest = await store.manifest();
    if (manifest.isErr()) return err(manifest.error);
    const loaded = await store.load(manifest.value.value);
    if (loaded.isErr()) return err(loaded.error);
    const text = formatDocument(
      manifest.value.value.generation,
      loaded.value.raw,
    );
    if (file === undefined) ctx.out(text.trimEnd());
    else await ctx.writeFile(file, text);
    return ok(undefined);
  });
}

/** Writes a whole document to an empty platform, as one generation. */
export function importDocument(
  ctx: CliContext,
  path: string,
  opts: CommonOptions,
): Promise<ExitCode> {
  return withPlatform(ctx, opts, async ({ store, author }) => {
    const raw = await readSections(ctx, path);
    if (raw.isErr()) return err(raw.error);
    const manifest = await store.manifest();
    if (manifest.isErr()) return err(manifest.error);
    if (manifest.value.value.generation > 0) {
      return fail(
        "conflict",
        `the platform holds a document at generation ${manifest.value.value.generation}; import works on an empty one`,
      );
    }
    const names = Object.keys(raw.value).map(sectionName);
    const invalid = names.find((name) => name.isErr());
    if (invalid?.isErr()) return err(invalid.error);
    const sections = new Map(
      Object.entries(raw.value) as [SectionName, unknown][],
    );
    const expect = new Map([...sections.keys()].map((name) => [name, 0]));
    const applied = await store.apply({ author, sections, expect });
    return applied.map(({ manifest: { generation } }) => {
      ctx.out(
        opts.json
          ? JSON.stringify({ generation, sections: [...sections.keys()] })
          : `${sections.size} sections are accepted with generation ${generation}`,
      );
    });
  });
}

async function readSections(
  ctx: CliContext,
  path: string,
): Promise<Result<RawSections, Failure>> {
  const stats = await stat(path).catch(() => undefined);
  if (stats?.isDirectory()) return await readSectionDirectory(ctx, path);
  return await readDocumentFile(ctx, path);
}

function sectionName(name: string): Result<SectionName, Failure> {
  const parsed = SectionName.safeParse(name);
  if (parsed.success) return ok(parsed.data);
  const allowed = parsed.error.issues[0]?.message ?? "";
  return fail("bad_section", `section ${JSON.stringify(name)} ${allowed}`);
}

function showManifest(
  ctx: CliContext,
  manifest: Manifest,
  opts: CommonOptions,
): void {
  if (opts.json) return ctx.out(JSON.stringify(manifest));
  ctx.out(`generation ${manifest.generation}`);
  for (const [name, entry] of Object.entries(manifest.sections)) {
    const at = new Date(entry.changed_at).toISOString();
    ctx.out(`${name}  version ${entry.version}  ${entry.author}  ${at}`);
  }
}
