/**
 * Names that digests give as hashes.
 *
 * The names of endpoints, client accounts and instances are most of a digest
 * that writes them out, and every instance knows them already: from the plan,
 * the registry and the list of instances. So a digest holds four bytes for each,
 * and whoever reads it looks the name up among those it knows. A name that is
 * not known yet is one that the reader has no use for yet.
 *
 * @module
 */
import { hash } from "../core/mod.ts";

/** Names beyond this many push out the oldest: endpoints come and go. */
const MOST_NAMES = 32_768;

/** Names known to one instance. */
export class NameBook {
  /** Undefined where two names share a hash: it stands for neither. */
  readonly #names = new Map<number, string | undefined>();

  /** Notes a name. */
  learn(name: string): void {
    const key = hash(name);
    const known = this.#names.get(key);
    if (known === name) return;
    const clashes = this.#names.has(key);
    this.#names.set(key, clashes ? undefined : name);
    if (this.#names.size > MOST_NAMES) this.#dropOldest();
  }

  /**
   * The name with a hash; undefined if it is not known for certain.
   *
   * @example
   * ```ts
   * book.learn("catalog-1");
   * book.nameOf(hash("catalog-1")); // "catalog-1"
   * ```
   */
  nameOf(key: number): string | undefined {
    return this.#names.get(key);
  }

  /** Whether a name's hash stands for it alone, as far as known. */
  isClear(name: string): boolean {
    const key = hash(name);
    return !this.#names.has(key) || this.#names.get(key) === name;
  }

  #dropOldest(): void {
    const oldest = this.#names.keys().next().value;
    if (oldest !== undefined) this.#names.delete(oldest);
  }
}
