/**
 * Dictionary that resolves the hashed names in digests.
 *
 * Names of endpoints and client accounts would make up most of a digest, and
 * every instance has them already from the plan and the registry. A digest
 * therefore carries a hash of four bytes per name. A receiver ignores rows with
 * a hash that it cannot resolve: it does not use that name yet.
 *
 * @module
 */
import { hash } from "../core/mod.ts";

/** The oldest name is evicted beyond this size, since endpoints come and go. */
const MAX_NAMES = 32_768;

/** Names by hash. */
export class NameDictionary {
  /** Undefined if several names have the hash, which then resolves to none. */
  readonly #names = new Map<number, string | undefined>();

  add(name: string): void {
    const key = hash(name);
    const known = this.#names.get(key);
    if (known === name) return;
    const collides = this.#names.has(key);
    this.#names.set(key, collides ? undefined : name);
    if (this.#names.size > MAX_NAMES) this.#evictOldest();
  }

  /**
   * Resolves a hash; undefined if it is unknown or ambiguous.
   *
   * @example
   * ```ts
   * dictionary.add("catalog-1");
   * dictionary.nameOf(hash("catalog-1")); // "catalog-1"
   * ```
   */
  nameOf(key: number): string | undefined {
    return this.#names.get(key);
  }

  /** Whether no other known name has the hash of this one. */
  isUnambiguous(name: string): boolean {
    const key = hash(name);
    return !this.#names.has(key) || this.#names.get(key) === name;
  }

  #evictOldest(): void {
    const oldest = this.#names.keys().next().value;
    if (oldest !== undefined) this.#names.delete(oldest);
  }
}
