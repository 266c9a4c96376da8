/**
 * Cache of the undecoded objects of one resource type and the revision they are
 * current at; the source of snapshots for other instances.
 *
 * @module
 */
import type {
  Changes,
  Snapshot,
  StoredChange,
  StoredEntry,
} from "./resource_client.ts";

interface CachedObject {
  readonly revision: number;
  readonly raw: unknown;
}

/** Revision of an empty list: below any object's, above 0 for never read. */
const EMPTY_LIST_REVISION = 1;

/** Objects by name, with the revision of each. */
export class ResourceCache {
  readonly #objects = new Map<string, CachedObject>();
  #changedAt = 0;
  #contiguousRevision = 0;

  /** Revision of the last known change. */
  get changedAt(): number {
    return this.#changedAt;
  }

  /** Revision that the next relayed changes follow without a gap. */
  get contiguousRevision(): number {
    return this.#contiguousRevision;
  }

  get objects(): readonly unknown[] {
    return [...this.#objects.values()].map(({ raw }) => raw);
  }

  /**
   * Replaces all objects by a list. On the first list the last change is that of
   * its newest object; on a later one objects may have been deleted in the gap
   * without a change being received, so the list itself counts as a change.
   * Objects newer than the list's revision do not count: other changes up to
   * theirs may be missing.
   */
  replace(all: Snapshot<unknown>, opts: { readonly again: boolean }): void {
    const newest = Math.max(
      EMPTY_LIST_REVISION,
      ...all.entries.map((e) => e.revision).filter((r) => r <= all.revision),
    );
    this.load(all, opts.again ? all.revision : newest);
  }

  /** Replaces all objects and sets the revision of the last change. */
  load(all: Snapshot<unknown>, changedAt: number): void {
    this.#objects.clear();
    for (const { name, revision, raw } of all.entries) {
      this.#objects.set(name, { revision, raw });
    }
    this.#changedAt = changedAt;
    this.#contiguousRevision = all.revision;
  }

  /** Changes that lead from the cached objects to a list. */
  difference<T>(entries: readonly StoredEntry<T>[]): StoredChange<T>[] {
    const listedNames = new Set(entries.map(({ name }) => name));
    const gone = [...this.#objects].filter(([name]) => !listedNames.has(name))
      .map(([name, { revision, raw }]): StoredChange<T> => ({
        entry: { name, revision, value: undefined, raw },
        deleted: true,
      }));
    const changed = entries
      .filter((e) => this.#objects.get(e.name)?.revision !== e.revision)
      .map((entry): StoredChange<T> => ({ entry, deleted: false }));
    return [...gone, ...changed];
  }

  /** Applies one change; returns false if it is stale or already applied. */
  applyIfNewer({ entry, deleted }: StoredChange<unknown>): boolean {
    const { name, revision, raw } = entry;
    const known = this.#objects.get(name);
    if (known !== undefined && revision < known.revision) return false;
    if (!deleted && known?.revision === revision) return false;
    if (deleted) this.#objects.delete(name);
    else this.#objects.set(name, { revision, raw });
    return true;
  }

  /** Advances to the revision of the store's changes, and returns it. */
  advanceTo(batch: Changes<unknown>): number {
    const last = batch.changes.some((c) => c.deleted)
      ? batch.revision
      : Math.max(...batch.changes.map((c) => c.entry.revision));
    this.setRevision(Math.max(last, this.#changedAt));
    return this.#changedAt;
  }

  /** Sets the revision of the last change, with no gap before it. */
  setRevision(revision: number): void {
    this.#changedAt = revision;
    this.#contiguousRevision = revision;
  }
}
