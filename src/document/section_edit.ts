/**
 * Edits of a part of a section: read, change, write on the version read, and
 * begin anew when another editor was first.
 *
 * @module
 */
import { err, type Result } from "neverthrow";
import { fail, type Failure } from "../core/mod.ts";
import type { AcceptedDocument, DocumentStore } from "./document_store.ts";
import type { SectionName } from "./sections.ts";

/** A section that is to be changed, with its new value. */
export interface SectionChange {
  readonly name: SectionName;
  readonly value: unknown;
}

const MAX_TRIES = 5;

/**
 * Changes a section by a function of the accepted document. Since the function
 * runs again on the winner's version, a lost race costs nothing but a turn.
 *
 * @example
 * ```ts
 * await editSection(store, "ops", (now) => addDrain(now, drain));
 * ```
 */
export async function editSection(
  store: DocumentStore,
  author: string,
  change: (now: AcceptedDocument) => Result<SectionChange, Failure>,
): Promise<Result<AcceptedDocument, Failure>> {
  let last: Result<AcceptedDocument, Failure> = fail("conflict", "no try");
  for (let i = 0; i < MAX_TRIES; i++) {
    const manifest = await store.manifest();
    if (manifest.isErr()) return err(manifest.error);
    const now = await store.load(manifest.value.value);
    if (now.isErr()) return err(now.error);
    const next = change(now.value);
    if (next.isErr()) return err(next.error);
    const { name, value } = next.value;
    const version = now.value.manifest.sections[name]?.version ?? 0;
    last = await store.apply({
      author,
      sections: new Map([[name, value]]),
      expect: new Map([[name, version]]),
    });
    if (last.isOk() || last.error.code !== "conflict") return last;
  }
  return last;
}
