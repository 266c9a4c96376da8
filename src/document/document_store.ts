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
  fromZod,
  type Random,
} from "../core/mod.ts";
import type { Platform, Versioned } from "../platform/mod.ts";
import {
  parseDocument,
  type RawSections,
  type SteeringDocument,
} from "./document.ts";
import {
  canonicalJson,
  contentKey,
  EMPTY_MANIFEST,
  Manifest,
  MANIFEST_KEY,
  type ManifestEntry,
  sha256,
} from "./manifest.ts";
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

  constructor(deps: DocumentStoreDeps) {
    this.#deps = deps;
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
  async content(digest: string): Promise<Result<unknown, Failure>> {
    const found = await this.#deps.platform.get(contentKey(digest));
    if (found.isErr()) return err(found.error);
    if (found.value === undefined) {
      return fail("not_found", `no content ${digest}`);
    }
    return ok(JSON.parse(found.value.value));
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
    for (let i = 0; i < MAX_WRITE_TRIES; i++) {
      const base = await this.manifest();
      if (base.isErr()) return err(base.error);
      const conflict = findConflict(base.value.value, expect);
      if (conflict) return err(conflict);
      expect ??= versionsOf(base.value.value, edit);
      const next = await this.#next(base.value.value, edit);
      if (next.isErr()) return err(next.error);
      const written = await this.#write(next.value, base.value.version);
      if (written.isErr()) return err(written.error);
      if (written.value) return ok(next.value);
    }
    return fail("conflict", "the document kept changing; nothing was written");
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
      sections[name] = this.#entry(value, edit, sections[name]);
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

  #entry(value: unknown, edit: Edit, before?: ManifestEntry): ManifestEntry {
    return {
      version: (before?.version ?? 0) + 1,
      sha256: sha256(canonicalJson(value)),
      author: edit.author,
      changed_at: this.#deps.clock.wall(),
    };
  }

  /** Contents go first, so that a manifest never names what is not there. */
  async #storeContents(edit: Edit): Promise<Result<void, Failure>> {
    for (const value of edit.sections.values()) {
      if (value === undefined) continue;
      const text = canonicalJson(value);
      const key = contentKey(sha256(text));
      const put = await this.#deps.platform.put(key, text, { ifAbsent: true });
      if (put.isErr() && put.error.code !== "conflict") return err(put.error);
    }
    return ok(undefined);
  }

  /** Writes the manifest; false means another editor was first. */
  async #write(
    next: AcceptedDocument,
    version: string | undefined,
  ): Promise<Result<boolean, Failure>> {
    const condition = version === undefined
      ? { ifAbsent: true } as const
      : { ifVersion: version };
    const text = canonicalJson(next.manifest);
    const put = await this.#deps.platform.put(MANIFEST_KEY, text, condition);
    if (put.isOk()) return ok(true);
    if (put.error.code === "conflict") return ok(false);
    if (put.error.code !== "platform_outcome_unknown") return err(put.error);
    return await this.#settle(next.manifest, put.error);
  }

  async #settle(
    written: Manifest,
    cause: Failure,
  ): Promise<Result<boolean, Failure>> {
    const now = await this.manifest();
    if (now.isErr()) return err(cause);
    if (now.value.value.write_id === written.write_id) return ok(true);
    if (now.value.value.generation < written.generation) return err(cause);
    return fail(
      "platform_outcome_unknown",
      "the write's answer was lost and a later change stands; read the section before trying again",
    );
  }
}

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
    const message = `section is at version ${found}, changed by ${
      entry?.author ?? "nobody"
    }; the edit was made on version ${version}`;
    return { code: "conflict", message, path: [name] };
  }
  return undefined;
}
