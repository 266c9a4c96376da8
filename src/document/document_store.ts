/**
 * Reads and edits the document in the platform's store.
 *
 * @module
 */
import { err, ok, type Result } from "neverthrow";
import {
  type Clock,
  fail,
  type Failure,
  failure,
  fromZod,
  type Random,
  sha256,
  sleep,
} from "../core/mod.ts";
import type { Platform, Versioned } from "../store/mod.ts";
import {
  parseDocument,
  type RawSections,
  type SteeringDocument,
} from "./document.ts";
import { ContentStore } from "./content_store.ts";
import {
  canonicalJson,
  EMPTY_MANIFEST,
  Manifest,
  MANIFEST_KEY,
  type ManifestEntry,
} from "./manifest.ts";
import { ManifestWriter } from "./manifest_writer.ts";
import type { SectionName } from "./sections.ts";

/** A complete document, with the manifest that accepted it. */
export interface AcceptedDocument {
  readonly manifest: Manifest;
  readonly raw: RawSections;
  readonly document: SteeringDocument;
}

/** One edit: sections to replace, or to remove if `undefined`. */
export interface DocumentEdit {
  readonly author: string;
  readonly sections: ReadonlyMap<SectionName, unknown>;
  /** Versions the edit was made on; a mismatch is a `conflict`. */
  readonly expect?: ReadonlyMap<SectionName, number>;
}

export interface DocumentStoreDeps {
  readonly platform: Platform;
  readonly clock: Clock;
  readonly random: Random;
}

const MAX_WRITE_ATTEMPTS = 5;
const WRITE_ID_BYTES = 12;
const STALE_READ_RETRY_DELAY_MS = 100;

/**
 * The document in the platform's store.
 *
 * @example
 * ```ts
 * const store = new DocumentStore({ platform, clock, random });
 * const edit = { author: "rates-team", sections: new Map([[name, value]]) };
 * const accepted = await store.apply(edit);
 * ```
 */
export class DocumentStore {
  readonly #deps: DocumentStoreDeps;
  readonly #contents: ContentStore;
  readonly #writer: ManifestWriter;

  constructor(deps: DocumentStoreDeps) {
    this.#deps = deps;
    this.#contents = new ContentStore(deps.platform);
    this.#writer = new ManifestWriter({
      ...deps,
      read: () => this.manifest(),
    });
  }

  /** Reads the manifest; generation 0 if the store has none. */
  async manifest(): Promise<Result<Versioned<Manifest>, Failure>> {
    const found = await this.#deps.platform.get(MANIFEST_KEY);
    if (found.isErr()) return err(found.error);
    if (found.value === undefined) {
      return ok({
        key: MANIFEST_KEY,
        value: EMPTY_MANIFEST,
        version: undefined,
      });
    }
    return parseManifest(found.value.value)
      .map((value) => ({
        key: MANIFEST_KEY,
        value,
        version: found.value?.version,
      }));
  }

  /** Reads one section's content by its digest. */
  content(digest: string): Promise<Result<unknown, Failure>> {
    return this.#contents.get(digest);
  }

  /** Reads the complete document that a manifest describes. */
  async load(manifest: Manifest): Promise<Result<AcceptedDocument, Failure>> {
    const raw: Record<string, unknown> = {};
    for (const [name, entry] of Object.entries(manifest.sections)) {
      const content = await this.content(entry.sha256);
      if (content.isErr()) return err(content.error);
      raw[name] = content.value;
    }
    return parseDocument(raw).map((document) => ({ manifest, raw, document }));
  }

  /**
   * Applies an edit with one conditional write of the manifest.
   *
   * If a concurrent edit wins, the edit is retried on the winner's manifest,
   * unless the same section was changed: that is a `conflict` that names the
   * author. A write whose response is lost is resolved by reading back the
   * manifest, which carries the write's id.
   */
  async apply(edit: DocumentEdit): Promise<Result<AcceptedDocument, Failure>> {
    let expect = edit.expect;
    let lastFailure = TOO_MANY_CONFLICTS;
    for (let i = 0; i < MAX_WRITE_ATTEMPTS; i++) {
      const base = await this.manifest();
      if (base.isErr()) return err(base.error);
      if (isStaleRead(base.value.value, edit)) {
        // A stale read would be reported as a conflict with a version older
        // than the edit's own base version.
        lastFailure = STALE_READ;
        await sleep(this.#deps.clock, STALE_READ_RETRY_DELAY_MS);
        continue;
      }
      const conflict = findConflict(base.value.value, expect);
      if (conflict) return err(conflict);
      expect ??= currentVersions(base.value.value, edit);
      const next = await this.#buildNext(base.value.value, edit);
      if (next.isErr()) return err(next.error);
      const written = await this.#writer.write(
        next.value.manifest,
        base.value.version,
      );
      if (written.isErr()) return err(written.error);
      if (written.value) return ok(next.value);
    }
    return err(lastFailure);
  }

  async #buildNext(
    base: Manifest,
    edit: DocumentEdit,
  ): Promise<Result<AcceptedDocument, Failure>> {
    const current = await this.load(base);
    if (current.isErr()) return err(current.error);
    const raw: Record<string, unknown> = { ...current.value.raw };
    const sections: Record<string, ManifestEntry> = { ...base.sections };
    for (const [name, value] of edit.sections) {
      if (value === undefined) {
        delete raw[name];
        delete sections[name];
        continue;
      }
      raw[name] = value;
      sections[name] = this.#manifestEntry(value, edit, base.generation + 1);
    }
    const document = parseDocument(raw);
    if (document.isErr()) return err(document.error);
    const stored = await this.#storeContents(edit);
    if (stored.isErr()) return err(stored.error);
    const manifest: Manifest = {
      generation: base.generation + 1,
      write_id: this.#deps.random.hex(WRITE_ID_BYTES),
      sections,
    };
    return ok({ manifest, raw, document: document.value });
  }

  #manifestEntry(
    value: unknown,
    edit: DocumentEdit,
    version: number,
  ): ManifestEntry {
    return {
      version,
      sha256: sha256(canonicalJson(value)),
      author: edit.author,
      changed_at: this.#deps.clock.wall(),
    };
  }

  /** Runs before the manifest write, so that a manifest has all its contents. */
  async #storeContents(edit: DocumentEdit): Promise<Result<void, Failure>> {
    for (const value of edit.sections.values()) {
      if (value === undefined) continue;
      const put = await this.#contents.put(canonicalJson(value));
      if (put.isErr()) return put;
    }
    return ok(undefined);
  }
}

const TOO_MANY_CONFLICTS = failure(
  "conflict",
  "every write attempt lost to a concurrent edit; nothing was written",
);

const STALE_READ = failure(
  "platform_unavailable",
  "the store returned a manifest older than the version the edit was made on; nothing was written",
);

/** Parses a manifest's stored text. */
export function parseManifest(text: string): Result<Manifest, Failure> {
  try {
    const parsed = Manifest.safeParse(JSON.parse(text));
    if (parsed.success) return ok(parsed.data);
    return err(fromZod("bad_document", parsed.error));
  } catch {
    return fail("bad_document", "the manifest is not valid JSON");
  }
}

function currentVersions(
  base: Manifest,
  edit: DocumentEdit,
): Map<SectionName, number> {
  const names = [...edit.sections.keys()];
  return new Map(names.map((n) => [n, base.sections[n]?.version ?? 0]));
}

function findConflict(
  base: Manifest,
  expect: ReadonlyMap<SectionName, number> | undefined,
): Failure | undefined {
  for (const [name, version] of expect ?? []) {
    const entry = base.sections[name];
    const found = entry?.version ?? 0;
    if (found === version) continue;
    const reason = entry
      ? `changed by ${entry.author} at ${
        new Date(entry.changed_at).toISOString()
      }`
      : "it was removed";
    const message =
      `section is at version ${found}, ${reason}; the edit was made on version ${version}`;
    const change = entry && {
      author: entry.author,
      version: entry.version,
      changedAt: entry.changed_at,
    };
    return failure("conflict", message, { path: [name], change });
  }
  return undefined;
}

/** Whether a manifest is older than a version the edit was made on. */
function isStaleRead(base: Manifest, edit: DocumentEdit): boolean {
  const versions = [...edit.expect?.values() ?? []];
  return versions.some((version) => base.generation < version);
}
