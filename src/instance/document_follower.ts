/**
 * Follows the accepted document and puts new generations in force.
 *
 * One instance per zone watches the store's manifest. The others poll it
 * slowly, and learn of and fetch new generations from peers, so that a change
 * costs the store a few reads per zone instead of some per instance. Only a
 * higher generation is ever adopted.
 *
 * @module
 */
import { create } from "@bufbuild/protobuf";
import {
  type Clock,
  type Failure,
  type Log,
  type Random,
  sleep,
} from "../core/mod.ts";
import {
  type AcceptedDocument,
  assembleDocument,
  type ContentStore,
  SectionCache,
  type SectionContent,
} from "../document/mod.ts";
import {
  type FetchContentResponse,
  FetchContentResponseSchema,
  type FetchManifestResponse,
  FetchManifestResponseSchema,
} from "../gen/document_pb.ts";
import type { Batch, Sender } from "../gen/peer_pb.ts";
import type { DocumentHandler, PeerSubsystem } from "../peers/mod.ts";
import type { DocumentSource, FoundManifest } from "./document_source.ts";

/** Dependencies of {@link DocumentFollower}. */
export interface DocumentFollowerDeps {
  readonly source: DocumentSource;
  readonly contents: ContentStore;
  readonly clock: Clock;
  readonly random: Random;
  readonly log: Log;
  /** Whether this instance watches the store on behalf of its zone. */
  readonly watches: () => boolean;
  readonly onDocument: (accepted: AcceptedDocument) => void;
}

const WATCH_TIMEOUT_MS = 5_000;
const RETRY_DELAY_MS = 250;
/** How often other instances check whether the watch has passed to them. */
const WATCH_OWNER_CHECK_MS = 500;
/** Fallback to watches and peers, so that a lost message only delays a change. */
const POLL_INTERVAL_MS = 20_000;
const POLL_JITTER_MS = 10_000;

/** Follows the manifest and ignores generations not above the one in force. */
export class DocumentFollower implements PeerSubsystem, DocumentHandler {
  readonly #deps: DocumentFollowerDeps;
  readonly #pendingFetches = new Map<string, Promise<void>>();
  #manifestText = "";
  #generation = -1;
  #digests: ReadonlyMap<string, string> = new Map();
  #rejected: readonly Failure[] = [];
  #rejectedGeneration = -1;
  #seenVersion: string | undefined;
  #nextPollAt = 0;
  readonly #sections = new SectionCache();
  #closed = false;

  constructor(deps: DocumentFollowerDeps) {
    this.#deps = deps;
  }

  /** The generation in force; -1 before the first. */
  get generation(): number {
    return this.#generation;
  }

  /** Why parts of the newest known document are not in force. */
  get rejected(): readonly Failure[] {
    return this.#rejected;
  }

  /** Starts following; resolves after the first attempt. */
  async start(): Promise<void> {
    const found = await this.#deps.source.poll();
    if (found.isOk() && found.value) await this.#adopt(found.value);
    this.#schedulePoll();
    void this.#follow();
  }

  close(): void {
    this.#closed = true;
  }

  fill(batch: Batch): void {
    batch.generation = BigInt(Math.max(0, this.#generation));
  }

  receive(batch: Batch, from: Sender): void {
    const announced = Number(batch.generation);
    if (
      announced <= this.#generation || announced <= this.#rejectedGeneration
    ) return;
    const { peerUrl } = from;
    if (peerUrl === "" || this.#pendingFetches.has(peerUrl)) return;
    this.#pendingFetches.set(peerUrl, this.#fetchFromPeer(peerUrl));
  }

  /** Resolves when all pending fetches from peers have ended. */
  async settled(): Promise<void> {
    await Promise.all(this.#pendingFetches.values());
  }

  fetchManifest(): FetchManifestResponse {
    return create(FetchManifestResponseSchema, {
      manifest: this.#manifestText,
      inForce: Object.fromEntries(this.#digests),
    });
  }

  fetchContent(digest: string): FetchContentResponse {
    const content = this.#deps.contents.cachedText(digest);
    return create(FetchContentResponseSchema, {
      found: content !== undefined,
      content: content ?? "",
    });
  }

  async #fetchFromPeer(peerUrl: string): Promise<void> {
    const found = await this.#deps.source.fromPeer(peerUrl);
    if (found.isOk() && found.value) await this.#adopt(found.value);
    this.#pendingFetches.delete(peerUrl);
  }

  async #follow(): Promise<void> {
    while (!this.#closed) {
      if (this.#deps.watches()) await this.#watch();
      else if (this.#deps.clock.now() >= this.#nextPollAt) await this.#poll();
      else await sleep(this.#deps.clock, WATCH_OWNER_CHECK_MS);
    }
  }

  async #watch(): Promise<void> {
    const found = await this.#deps.source.watch(
      this.#seenVersion,
      WATCH_TIMEOUT_MS,
    );
    if (this.#closed) return;
    if (found.isErr()) return await this.#logAndBackOff(found.error);
    const { value } = found;
    if (value === undefined || value.version === this.#seenVersion) {
      // The store may end each watch at once with the same version. Retrying
      // without a delay would use up the store's rate.
      return await sleep(this.#deps.clock, RETRY_DELAY_MS);
    }
    if (await this.#adopt(value)) this.#seenVersion = value.version;
    else await sleep(this.#deps.clock, RETRY_DELAY_MS);
  }

  async #poll(): Promise<void> {
    this.#schedulePoll();
    const found = await this.#deps.source.poll();
    if (found.isErr()) return await this.#logAndBackOff(found.error);
    if (found.value) await this.#adopt(found.value);
  }

  #schedulePoll(): void {
    const { clock, random } = this.#deps;
    this.#nextPollAt = clock.now() + POLL_INTERVAL_MS +
      random.below(POLL_JITTER_MS);
  }

  /** Returns whether the manifest is done with: in force, older, or unusable. */
  async #adopt(found: FoundManifest): Promise<boolean> {
    const { generation } = found.manifest;
    if (this.isProcessed(generation)) return true;
    const contents = await this.#loadContents(found);
    if (contents === undefined) return false;
    const previous = await this.#previousContents(found);
    if (this.isProcessed(generation)) return true;
    const assembled = assembleDocument(found.manifest, contents, {
      previous,
      parse: this.#sections.parse,
    });
    if (assembled.isErr()) {
      this.#rejectedGeneration = generation;
      this.#rejected = [assembled.error];
      this.#deps.log.event("document_rejected", { generation });
      return true;
    }
    this.#manifestText = found.text;
    this.#generation = generation;
    this.#digests = assembled.value.digests;
    this.#rejected = assembled.value.rejected;
    this.#deps.log.event("document_in_force", {
      generation,
      rejected: this.#rejected.length,
    });
    this.#deps.onDocument(assembled.value.accepted);
    return true;
  }

  /** Whether a generation is not above the one in force or the last rejected one. */
  protected isProcessed(generation: number): boolean {
    return generation <= this.#generation ||
      generation <= this.#rejectedGeneration;
  }

  /** Content of every section, without those that are not valid JSON; undefined on failure. */
  async #loadContents(
    found: FoundManifest,
  ): Promise<Map<string, SectionContent> | undefined> {
    const contents = new Map<string, SectionContent>();
    for (const [name, { sha256 }] of Object.entries(found.manifest.sections)) {
      const content = await this.#deps.source.content(sha256, found.peerUrl);
      if (content.isOk()) contents.set(name, content.value);
      else if (content.error.code !== "bad_document") {
        this.#deps.log.event("document_load_failed", {
          code: content.error.code,
        });
        return undefined;
      }
    }
    return contents;
  }

  /** Sections in force here, or at the peer if this instance has no document yet. */
  async #previousContents(
    found: FoundManifest,
  ): Promise<Map<string, SectionContent>> {
    const digests = this.#generation >= 0
      ? this.#digests
      : new Map(Object.entries(found.inForce));
    const contents = new Map<string, SectionContent>();
    for (const [name, digest] of digests) {
      const content = await this.#deps.source.content(digest, found.peerUrl);
      if (content.isOk()) contents.set(name, content.value);
    }
    return contents;
  }

  async #logAndBackOff(failure: Failure): Promise<void> {
    this.#deps.log.event("document_watch_failed", { code: failure.code });
    await sleep(this.#deps.clock, RETRY_DELAY_MS);
  }
}
