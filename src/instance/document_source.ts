/**
 * Reads manifests and section contents from the store, or from a peer that has
 * a later generation in force.
 *
 * @module
 */
import { ok, type Result } from "neverthrow";
import { type Clock, fail, type Failure } from "../core/mod.ts";
import {
  type ContentStore,
  type LenientManifest,
  MANIFEST_KEY,
  parseLenientManifest,
  type SectionContent,
} from "../document/mod.ts";
import type { DocumentTransport } from "../peers/mod.ts";
import type { Platform, Versioned } from "../store/mod.ts";
import type { PlatformContact } from "./platform_contact.ts";

/** A manifest and its origin. */
export interface FoundManifest {
  readonly text: string;
  readonly manifest: LenientManifest;
  /** Version in the store; undefined if it came from a peer. */
  readonly version: string | undefined;
  /** Digests of the sections in force at the peer, by section name. */
  readonly inForce: Readonly<Record<string, string>>;
  readonly peerUrl: string | undefined;
}

/** Dependencies of {@link DocumentSource}. */
export interface DocumentSourceDeps {
  readonly platform: Platform;
  readonly contents: ContentStore;
  readonly transport: DocumentTransport;
  readonly contact: PlatformContact;
  readonly clock: Clock;
}

/** How long past its requested wait a watch may take before it fails. */
const WATCH_GRACE_MS = 3_000;

/** Reads from the store and from peers. */
export class DocumentSource {
  readonly #deps: DocumentSourceDeps;

  constructor(deps: DocumentSourceDeps) {
    this.#deps = deps;
  }

  /** Reads the store's manifest; undefined if there is none. */
  async poll(): Promise<Result<FoundManifest | undefined, Failure>> {
    const { platform, contact, clock } = this.#deps;
    const from = clock.now();
    const read = await platform.get(MANIFEST_KEY);
    if (read.isOk()) contact.record(from);
    return read.andThen(toFoundManifest);
  }

  /** Waits for the store's manifest to change from version `seen`. */
  async watch(
    seen: string | undefined,
    waitMs: number,
  ): Promise<Result<FoundManifest | undefined, Failure>> {
    const { platform, contact, clock } = this.#deps;
    const from = clock.now();
    const waiting = platform.watch(MANIFEST_KEY, seen, waitMs);
    const read = await this.#withTimeout(waiting, waitMs + WATCH_GRACE_MS);
    // After a process pause the response may be old, but not older than the end
    // of the wait.
    if (read.isOk()) contact.record(Math.min(clock.now(), from + waitMs));
    return read.andThen(toFoundManifest);
  }

  #withTimeout<T>(
    call: Promise<Result<T, Failure>>,
    ms: number,
  ): Promise<Result<T, Failure>> {
    return new Promise((resolve) => {
      const timer = this.#deps.clock.after(ms, () => {
        resolve(
          fail("platform_unavailable", "watch timed out without a response"),
        );
      });
      void call.then((result) => {
        timer.close();
        resolve(result);
      });
    });
  }

  /** Fetches the manifest in force at a peer. */
  async fromPeer(
    peerUrl: string,
  ): Promise<Result<FoundManifest | undefined, Failure>> {
    const answer = await this.#deps.transport.fetchManifest(peerUrl);
    return answer.andThen(({ manifest: text, inForce }) => {
      if (text === "") return ok(undefined);
      return parseLenientManifest(text).map((manifest) => ({
        text,
        manifest,
        version: undefined,
        inForce,
        peerUrl,
      }));
    });
  }

  /** Content of a section, from the cache, the peer or the store. */
  async content(
    digest: string,
    peerUrl: string | undefined,
  ): Promise<Result<SectionContent, Failure>> {
    const { contents, transport } = this.#deps;
    if (peerUrl !== undefined && contents.cachedText(digest) === undefined) {
      const answer = await transport.fetchContent(peerUrl, digest);
      // Content is addressed by its digest, so wrong content is never looked up.
      if (answer.isOk() && answer.value.found) {
        contents.cacheText(answer.value.content);
      }
    }
    const value = await contents.get(digest);
    return value.map((value) => ({ digest, value }));
  }
}

function toFoundManifest(
  read: Versioned<string> | undefined,
): Result<FoundManifest | undefined, Failure> {
  if (read === undefined) return ok(undefined);
  const { value: text, version } = read;
  return parseLenientManifest(text).map((manifest) => ({
    text,
    manifest,
    version,
    inForce: {},
    peerUrl: undefined,
  }));
}
