/**
 * Read-modify-write edits of a section, with optimistic concurrency: conditional
 * on the version read, and retried after a conflict.
 *
 * @module
 */
import { err, type Result } from "neverthrow";
import { fail, type Failure } from "../core/mod.ts";
import type { AcceptedDocument, DocumentStore } from "./document_store.ts";
import type { SectionName } from "./sections.ts";

/** A section and its new value. */
export interface SectionChange {
  readonly name: SectionName;
  readonly value: unknown;
}

const MAX_ATTEMPTS = 5;

/**
 * Changes a section by a function of the accepted document. After a conflict the
 * function runs again on the winner's version, so a conflict costs
 * only a retry.
 *
 * @example
 * ```ts
 * await editSection(store, "ops", (current) => addDrain(current, drain));
 * ```
 */
export async function editSection(
  store: DocumentStore,
  author: string,
  change: (current: AcceptedDocument) => Result<SectionChange, Failure>,
): Promise<Result<AcceptedDocument, Failure>> {
  let last: Result<AcceptedDocument, Failure> = fail(
    "conflict",
    "no attempt was made",
  );
  for (let i = 0; i < MAX_ATTEMPTS; i++) {
    const manifest = await store.manifest();
    if (manifest.isErr()) return err(manifest.error);
    const current = await store.load(manifest.value.value);
    if (current.isErr()) return err(current.error);
    const next = change(current.value);
    if (next.isErr()) return err(next.error);
    const { name, value } = next.value;
    const version = current.value.manifest.sections[name]?.version ?? 0;
    last = await store.apply({
      author,
      sections: new Map([[name, value]]),
      expect: new Map([[name, version]]),
    });
    if (last.isOk() || last.error.code !== "conflict") return last;
  }
  return last;
}
