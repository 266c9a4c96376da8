/**
 * Keeps the accepted document in force.
 *
 * One instance of a zone watches the store's manifest; the others poll it
 * slowly and otherwise hear of a new generation from their peers, from which
 * they also fetch it, so that a change costs the store a few reads a zone and
 * not some an instance. Only a higher generation is ever adopted.
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

/** What a follower needs. */
export interface DocumentFollowerDeps {
  readonly source: DocumentSource;
  readonly contents: ContentStore;
  readonly clock: Clock;
  readonly random: Random;
  readonly log: Log;
  /** Whether it is this instance that watches the store for its zone. */
  readonly watches: () => boolean;
  readonly onDocument: (accepted: AcceptedDocument) => void;
}

const WATCH_MS = 5_000;
const RETRY_MS = 250;
/** How often the duty is looked at by those that do not have it. */
const DUTY_CHECK_MS = 500;
/** A poll behind watches and peers, so that no lost message is lost for good. */
const POLL_MS = 20_000;
const POLL_JITTER_MS = 10_000;

/** Follows the manifest; a generation not above the one in force is left out. */
export class DocumentFollower implements PeerSubsystem, DocumentHandler {
  readonly #deps: DocumentFollowerDeps;
  readonly #fetching = new Map<string, Promise<void>>();
  #text = "";
  #generation = -1;
  #digests: ReadonlyMap<string, string> = new Map();
  #rejected: readonly Failure[] = [];
  #rejectedGeneration = -1;
  #seen: string | undefined;
  #pollAt = 0;
  readonly #sections = new SectionCache();
  #closed = false;

  constructor(deps: DocumentFollowerDeps) {
    this.#deps = deps;
  }

  /** The generation in force; -1 before the first. */
  get generation(): number {
    return this.#generation;
  }

  /** What of the newest known document is not in force, and why. */
  get rejected(): readonly Failure[] {
    return this.#rejected;
  }

  /** Starts following; comes back after the first try. */
  async start(): Promise<void> {
    const found = await this.#deps.source.poll();
    if (found.isOk() && found.value) await this.#adopt(found.value);
    this.#planPoll();
    void this.#follow();
  }

  close(): void {
    this.#closed = true;
  }

  fill(batch: Batch): void {
    batch.generation = BigInt(Math.max(0, this.#generation));
  }

  receive(batch: Batch, from: Sender): void {
    const told = Number(batch.generation);
    if (told <= this.#generation || told <= this.#rejectedGeneration) return;
    const { peerUrl } = from;
    if (peerUrl === "" || this.#fetching.has(peerUrl)) return;
    this.#fetching.set(peerUrl, this.#fetch(peerUrl));
  }

  /** Comes back when every fetch from peers that is under way has ended. */
  async settled(): Promise<void> {
    await Promise.all(this.#fetching.values());
  }

  fetchManifest(): FetchManifestResponse {
    return create(FetchManifestResponseSchema, {
      manifest: this.#text,
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

  async #fetch(peerUrl: string): Promise<void> {
    const found = await this.#deps.source.fromPeer(peerUrl);
    if (found.isOk() && found.value) await this.#adopt(found.value);
    this.#fetching.delete(peerUrl);
  }

  async #follow(): Promise<void> {
    while (!this.#closed) {
      if (this.#deps.watches()) await this.#watch();
      else if (this.#deps.clock.now() >= this.#pollAt) await this.#poll();
      else await sleep(this.#deps.clock, DUTY_CHECK_MS);
    }
  }

  async #watch(): Promise<void> {
    const found = await this.#deps.source.watch(this.#seen, WATCH_MS);
    if (this.#closed) return;
    if (found.isErr()) return await this.#pause(found.error);
    const { value } = found;
    if (value === undefined || value.version === this.#seen) {
      // A watch that repeats itself ends at once each time. Without a pause
      // every instance would ask again and again and use up the store's rate.
      return await sleep(this.#deps.clock, RETRY_MS);
    }
    if (await this.#adopt(value)) this.#seen = value.version;
    else await sleep(this.#deps.clock, RETRY_MS);
  }

  async #poll(): Promise<void> {
    this.#planPoll();
    const found = await this.#deps.source.poll();
    if (found.isErr()) return await this.#pause(found.error);
    if (found.value) await this.#adopt(found.value);
  }

  #planPoll(): void {
    const { clock, random } = this.#deps;
    this.#pollAt = clock.now() + POLL_MS + random.below(POLL_JITTER_MS);
  }

  /** Whether the manifest needs no further look: it is in force, older, or unusable. */
  async #adopt(found: FoundManifest): Promise<boolean> {
    const { generation } = found.manifest;
    if (this.isKnown(generation)) return true;
    const contents = await this.#load(found);
    if (contents === undefined) return false;
    const before = await this.#before(found);
    if (this.isKnown(generation)) return true;
    const assembled = assembleDocument(found.manifest, contents, {
      previous: before,
      parse: this.#sections.parse,
    });
    if (assembled.isErr()) {
      this.#rejectedGeneration = generation;
      this.#rejected = [assembled.error];
      this.#deps.log.event("document_rejected", { generation });
      return true;
    }
    this.#text = found.text;
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

  /** Whether a generation is in force here, or older, or unusable. */
  protected isKnown(generation: number): boolean {
    return generation <= this.#generation ||
      generation <= this.#rejectedGeneration;
  }

  /** Every section's content; a section whose content is no JSON is left out. */
  async #load(
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

  /** What is in force here, or, at a fresh instance, at the peer. */
  async #before(found: FoundManifest): Promise<Map<string, SectionContent>> {
    const digests = this.#generation >= 0
      ? this.#digests
      : new Map(Object.entries(found.inForce));
    const before = new Map<string, SectionContent>();
    for (const [name, digest] of digests) {
      const content = await this.#deps.source.content(digest, found.peerUrl);
      if (content.isOk()) before.set(name, content.value);
    }
    return before;
  }

  async #pause(failure: Failure): Promise<void> {
    this.#deps.log.event("document_watch_failed", { code: failure.code });
    await sleep(this.#deps.clock, RETRY_MS);
  }
}
