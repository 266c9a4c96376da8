/**
 * Cache of one resource type as it came from the store, with the revision up to
 * which it is known; other instances are sent from it.
 *
 * @module
 */
import type {
  Changes,
  Snapshot,
  StoredChange,
  StoredEntry,
} from "./resource_client.ts";

interface Kept {
  readonly revision: number;
  readonly raw: unknown;
}

/** Below any revision of an object, and above that of what was never read. */
const READ = 1;

/** Objects by name. */
export class ResourceCache {
  readonly #kept = new Map<string, Kept>();
  #changedAt = 0;
  #chainedAt = 0;

  /** Revision of the last change that is known. */
  get changedAt(): number {
    return this.#changedAt;
  }

  /** The next changes that are passed on follow this revision without a gap. */
  get chainedAt(): number {
    return this.#chainedAt;
  }

  get objects(): readonly unknown[] {
    return [...this.#kept.values()].map(({ raw }) => raw);
  }

  /**
   * Takes over a list. Read for the first time, the last change is that of its
   * newest object; read again after a gap, objects may have gone in it that
   * nobody was told of, so the list itself counts as a change.
   */
  replace(all: Snapshot<unknown>, opts: { readonly again: boolean }): void {
    const newest = Math.max(READ, ...all.entries.map((e) => e.revision));
    this.adopt(all, opts.again ? all.revision : newest);
  }

  /** Takes over what another instance knows. */
  adopt(all: Snapshot<unknown>, changedAt: number): void {
    this.#kept.clear();
    for (const { name, revision, raw } of all.entries) {
      this.#kept.set(name, { revision, raw });
    }
    this.#changedAt = changedAt;
    this.#chainedAt = all.revision;
  }

  /** What of a list differs from what is known. */
  difference<T>(entries: readonly StoredEntry<T>[]): StoredChange<T>[] {
    const named = new Set(entries.map(({ name }) => name));
    const gone = [...this.#kept].filter(([name]) => !named.has(name))
      .map(([name, { revision, raw }]): StoredChange<T> => ({
        entry: { name, revision, value: undefined, raw },
        deleted: true,
      }));
    const changed = entries
      .filter((e) => this.#kept.get(e.name)?.revision !== e.revision)
      .map((entry): StoredChange<T> => ({ entry, deleted: false }));
    return [...gone, ...changed];
  }

  /** Takes in one change; gives false where it is older than what is known. */
  take({ entry, deleted }: StoredChange<unknown>): boolean {
    const { name, revision, raw } = entry;
    const known = this.#kept.get(name);
    if (known !== undefined && revision < known.revision) return false;
    if (!deleted && known?.revision === revision) return false;
    if (deleted) this.#kept.delete(name);
    else this.#kept.set(name, { revision, raw });
    return true;
  }

  /** Notes changes of the store; gives the revision up to which they reach. */
  append(news: Changes<unknown>): number {
    const last = news.changes.some((c) => c.deleted)
      ? news.revision
      : Math.max(...news.changes.map((c) => c.entry.revision));
    this.chain(Math.max(last, this.#changedAt));
    return this.#changedAt;
  }

  /** Everything up to a revision, at which something changed, is known. */
  chain(revision: number): void {
    this.#changedAt = revision;
    this.#chainedAt = revision;
  }
}
