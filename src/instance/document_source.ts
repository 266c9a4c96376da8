/**
 * Where the follower gets manifests and contents: the store, or a peer that
 * has a later generation in force.
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

/** A manifest as it was found. */
export interface FoundManifest {
  readonly text: string;
  readonly manifest: LenientManifest;
  /** The store's version; none if a peer gave it. */
  readonly version: string | undefined;
  /** What the peer has in force of each section, by digest. */
  readonly inForce: Readonly<Record<string, string>>;
  readonly peerUrl: string | undefined;
}

/** What a source needs. */
export interface DocumentSourceDeps {
  readonly platform: Platform;
  readonly contents: ContentStore;
  readonly transport: DocumentTransport;
  readonly contact: PlatformContact;
  readonly clock: Clock;
}

/** A watch that says nothing is given up this long after it was due. */
const WATCH_OVERDUE_MS = 3_000;

/** Reads from the store and from peers. */
export class DocumentSource {
  readonly #deps: DocumentSourceDeps;

  constructor(deps: DocumentSourceDeps) {
    this.#deps = deps;
  }

  /** Reads the store's manifest; undefined if it has none. */
  async poll(): Promise<Result<FoundManifest | undefined, Failure>> {
    const { platform, contact, clock } = this.#deps;
    const from = clock.now();
    const read = await platform.get(MANIFEST_KEY);
    if (read.isOk()) contact.note(from);
    return read.andThen(found);
  }

  /** Waits for the store's manifest to change from version `seen`. */
  async watch(
    seen: string | undefined,
    waitMs: number,
  ): Promise<Result<FoundManifest | undefined, Failure>> {
    const { platform, contact, clock } = this.#deps;
    const from = clock.now();
    const waiting = platform.watch(MANIFEST_KEY, seen, waitMs);
    const read = await this.#inTime(waiting, waitMs + WATCH_OVERDUE_MS);
    // After a pause the answer may be old, but not older than the wait's end.
    if (read.isOk()) contact.note(Math.min(clock.now(), from + waitMs));
    return read.andThen(found);
  }

  #inTime<T>(
    call: Promise<Result<T, Failure>>,
    ms: number,
  ): Promise<Result<T, Failure>> {
    return new Promise((resolve) => {
      const timer = this.#deps.clock.after(ms, () => {
        resolve(fail("platform_unavailable", "a watch was silent"));
      });
      void call.then((result) => {
        timer.close();
        resolve(result);
      });
    });
  }

  /** Asks a peer for the manifest it has in force. */
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

  /** A section's content, from what is known, the peer, or the store. */
  async content(
    digest: string,
    peerUrl: string | undefined,
  ): Promise<Result<SectionContent, Failure>> {
    const { contents, transport } = this.#deps;
    if (peerUrl !== undefined && contents.cachedText(digest) === undefined) {
      const answer = await transport.fetchContent(peerUrl, digest);
      // A content is named by its digest, so a wrong one is simply not found.
      if (answer.isOk() && answer.value.found) {
        contents.cacheText(answer.value.content);
      }
    }
    const value = await contents.get(digest);
    return value.map((value) => ({ digest, value }));
  }
}

function found(
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
