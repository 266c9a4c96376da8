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

/** A whole accepted document. */
export interface AcceptedDocument {
  readonly manifest: Manifest;
  readonly raw: RawSections;
  readonly document: SteeringDocument;
}

/** One edit: sections to replace, or to remove with `undefined`. */
export interface Edit {
  readonly author: string;
  readonly sections: ReadonlyMap<SectionName, unknown>;
  /** Refuse if a section's version differs from the one named here. */
  readonly expect?: ReadonlyMap<SectionName, number>;
}

/** What the store needs besides the platform. */
export interface DocumentStoreDeps {
  readonly platform: Platform;
  readonly clock: Clock;
  readonly random: Random;
}

const MAX_WRITE_TRIES = 5;
const WRITE_ID_BYTES = 12;
/** How long to wait for a read that is not behind, in milliseconds. */
const BEHIND_PAUSE_MS = 100;

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

  /** Reads the manifest; a store without one reads as generation 0. */
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

  /** Reads the whole document that a manifest names. */
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
   * Accepts an edit, as one conditional write of the manifest.
   *
   * Editors race: the loser's write is refused, and it tries again on the
   * winner's manifest unless the same section was changed, which is a
   * `conflict` that names who changed it. A write whose answer is lost is
   * settled by reading back: the manifest carries the write's id.
   */
  async apply(edit: Edit): Promise<Result<AcceptedDocument, Failure>> {
    let expect = edit.expect;
    let last = KEPT_CHANGING;
    for (let i = 0; i < MAX_WRITE_TRIES; i++) {
      const base = await this.manifest();
      if (base.isErr()) return err(base.error);
      if (isBehind(base.value.value, edit)) {
        // Told from this read, the editor would lose against its own past.
        last = BEHIND;
        await sleep(this.#deps.clock, BEHIND_PAUSE_MS);
        continue;
      }
      const conflict = findConflict(base.value.value, expect);
      if (conflict) return err(conflict);
      expect ??= versionsOf(base.value.value, edit);
      const next = await this.#next(base.value.value, edit);
      if (next.isErr()) return err(next.error);
      const written = await this.#writer.write(
        next.value.manifest,
        base.value.version,
      );
      if (written.isErr()) return err(written.error);
      if (written.value) return ok(next.value);
    }
    return err(last);
  }

  async #next(
    base: Manifest,
    edit: Edit,
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
      sections[name] = this.#entry(value, edit, base.generation + 1);
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

  #entry(value: unknown, edit: Edit, version: number): ManifestEntry {
    return {
      version,
      sha256: sha256(canonicalJson(value)),
      author: edit.author,
      changed_at: this.#deps.clock.wall(),
    };
  }

  /** Contents go first, so that a manifest never names what is not there. */
  async #storeContents(edit: Edit): Promise<Result<void, Failure>> {
    for (const value of edit.sections.values()) {
      if (value === undefined) continue;
      const put = await this.#contents.put(canonicalJson(value));
      if (put.isErr()) return put;
    }
    return ok(undefined);
  }
}

const KEPT_CHANGING = failure(
  "conflict",
  "the document kept changing; nothing was written",
);

const BEHIND = failure(
  "platform_unavailable",
  "the store's reads are behind the edit; nothing was written",
);

/** Reads a manifest from the text that the store holds. */
export function parseManifest(text: string): Result<Manifest, Failure> {
  try {
    const parsed = Manifest.safeParse(JSON.parse(text));
    if (parsed.success) return ok(parsed.data);
    return err(fromZod("bad_document", parsed.error));
  } catch {
    return fail("bad_document", "the manifest is not JSON");
  }
}

function versionsOf(base: Manifest, edit: Edit): Map<SectionName, number> {
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
    const by = entry
      ? `changed by ${entry.author} at ${
        new Date(entry.changed_at).toISOString()
      }`
      : "it was removed";
    const message =
      `section is at version ${found}, ${by}; the edit was made on version ${version}`;
    const change = entry && {
      author: entry.author,
      version: entry.version,
      changedAt: entry.changed_at,
    };
    return failure("conflict", message, { path: [name], change });
  }
  return undefined;
}

/** Whether a read is older than what the editor has already seen. */
function isBehind(base: Manifest, edit: Edit): boolean {
  const versions = [...edit.expect?.values() ?? []];
  return versions.some((version) => base.generation < version);
}
