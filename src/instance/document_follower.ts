/**
 * Keeps the accepted document in force: watches the manifest and loads what is
 * newer.
 *
 * @module
 */
import { type Clock, type Failure, type Log, sleep } from "../core/mod.ts";
import {
  type AcceptedDocument,
  type DocumentStore,
  type Manifest,
  MANIFEST_KEY,
  parseManifest,
} from "../document/mod.ts";
import type { Platform } from "../platform/mod.ts";

/** What a follower needs. */
export interface DocumentFollowerDeps {
  readonly platform: Platform;
  readonly store: DocumentStore;
  readonly clock: Clock;
  readonly log: Log;
  readonly onDocument: (accepted: AcceptedDocument) => void;
}

const WATCH_MS = 10_000;
const RETRY_MS = 250;

/** Follows the manifest; a generation not above the one in force is left out. */
export class DocumentFollower {
  readonly #deps: DocumentFollowerDeps;
  #generation = -1;
  #closed = false;

  constructor(deps: DocumentFollowerDeps) {
    this.#deps = deps;
  }

  /** The generation in force; -1 before the first. */
  get generation(): number {
    return this.#generation;
  }

  /** Starts following; comes back after the first try. */
  async start(): Promise<void> {
    const manifest = await this.#deps.store.manifest();
    if (manifest.isOk()) await this.#adopt(manifest.value.value);
    void this.#follow(manifest.isOk() ? manifest.value.version : undefined);
  }

  close(): void {
    this.#closed = true;
  }

  async #follow(seen: string | undefined): Promise<void> {
    while (!this.#closed) {
      const found = await this.#deps.platform.watch(
        MANIFEST_KEY,
        seen,
        WATCH_MS,
      );
      if (this.#closed) return;
      if (found.isErr()) {
        await this.#pause(found.error);
        continue;
      }
      const { value } = found;
      if (value === undefined || value.version === seen) {
        // A watch that repeats itself ends at once each time. Without a pause
        // every instance would ask again and again and use up the store's rate.
        await sleep(this.#deps.clock, RETRY_MS);
        continue;
      }
      const manifest = parseManifest(value.value);
      const adopted = manifest.isOk() && await this.#adopt(manifest.value);
      if (adopted) seen = value.version;
      else await sleep(this.#deps.clock, RETRY_MS);
    }
  }

  async #adopt(manifest: Manifest): Promise<boolean> {
    if (manifest.generation <= this.#generation) return true;
    const loaded = await this.#deps.store.load(manifest);
    if (loaded.isErr()) {
      this.#deps.log.event("document_load_failed", { code: loaded.error.code });
      return false;
    }
    if (manifest.generation <= this.#generation) return true;
    this.#generation = manifest.generation;
    this.#deps.log.event("document_in_force", {
      generation: manifest.generation,
    });
    this.#deps.onDocument(loaded.value);
    return true;
  }

  async #pause(failure: Failure): Promise<void> {
    this.#deps.log.event("document_watch_failed", { code: failure.code });
    await sleep(this.#deps.clock, RETRY_MS);
  }
}
