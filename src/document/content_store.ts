/**
 * Content-addressed section contents in the platform's store.
 *
 * The store holds values of up to a megabyte. A larger section is split into
 * parts, and an index object under its digest records how many there are.
 *
 * @module
 */
import { err, ok, type Result } from "neverthrow";
import { z } from "zod";
import { fail, type Failure, sha256 } from "../core/mod.ts";
import type { Platform } from "../store/mod.ts";
import { contentKey } from "./manifest.ts";

/** UTF-16 code units per part; at most 3 bytes each, so below a megabyte. */
const MAX_PART_CODE_UNITS = 300_000;
/** Parts per section, so that a section has up to 19 million code units. */
const MAX_PARTS = 64;
const MAX_CACHED_CONTENTS = 1_000;
const MAX_WRITE_ATTEMPTS = 2;

const PartIndex = z.strictObject({
  parts: z.number().int().min(2).max(MAX_PARTS),
});

/** A section's text, and its parsed value once it has been read. */
interface CachedContent {
  readonly text: string;
  value: unknown;
}

/** Reads and writes contents, with a cache: a digest's content never changes. */
export class ContentStore {
  readonly #platform: Platform;
  readonly #cache = new Map<string, CachedContent>();

  constructor(platform: Platform) {
    this.#platform = platform;
  }

  /**
   * Reads content by its digest.
   *
   * Errors: `not_found`, `bad_document` when the stored text does not match the
   * digest (truncated or overwritten), and those of the platform.
   *
   * While it is cached, a content returns the same object each time, which
   * callers must not change; a change of one section costs the others no parse.
   */
  async get(digest: string): Promise<Result<unknown, Failure>> {
    const cached = this.#cache.get(digest);
    if (cached !== undefined) return ok(parsedValue(cached));
    const head = await this.#read(contentKey(digest));
    if (head.isErr()) return err(head.error);
    const text = await this.#assemble(digest, head.value);
    if (text.isErr()) return err(text.error);
    return ok(parsedValue(this.#addToCache(digest, text.value)));
  }

  /** Text of a cached content. */
  cachedText(digest: string): string | undefined {
    return this.#cache.get(digest)?.text;
  }

  /** Caches content from another source, such as a peer; returns its digest. */
  cacheText(text: string): string {
    const digest = sha256(text);
    this.#addToCache(digest, text);
    return digest;
  }

  /** Stores content if absent; `value_too_large` beyond the maximum of parts. */
  async put(text: string): Promise<Result<void, Failure>> {
    const digest = sha256(text);
    const parts = splitIntoParts(text);
    if (parts.length > MAX_PARTS) {
      const limit = MAX_PART_CODE_UNITS * MAX_PARTS;
      return fail(
        "value_too_large",
        `a section is limited to ${limit} characters, this one has ${text.length}; split it into parts such as "accounts/a" and "accounts/b"`,
      );
    }
    if (parts.length === 1) return await this.#write(contentKey(digest), text);
    for (const [i, part] of parts.entries()) {
      const written = await this.#write(partKey(digest, i), part);
      if (written.isErr()) return written;
    }
    const index = JSON.stringify({ parts: parts.length });
    return await this.#write(contentKey(digest), index);
  }

  async #assemble(
    digest: string,
    head: string,
  ): Promise<Result<string, Failure>> {
    if (sha256(head) === digest) return ok(head);
    const partCount = parsePartCount(head);
    if (partCount === undefined) return corruptContent(digest);
    const keys = Array.from(
      { length: partCount },
      (_, i) => partKey(digest, i),
    );
    const parts = await Promise.all(keys.map((key) => this.#read(key)));
    const texts: string[] = [];
    for (const part of parts) {
      if (part.isErr()) return err(part.error);
      texts.push(part.value);
    }
    const text = texts.join("");
    return sha256(text) === digest ? ok(text) : corruptContent(digest);
  }

  async #read(key: string): Promise<Result<string, Failure>> {
    const found = await this.#platform.get(key);
    if (found.isErr()) return err(found.error);
    if (found.value === undefined) return fail("not_found", `no object ${key}`);
    return ok(found.value.value);
  }

  /**
   * Writes content-addressed text. A key only ever holds one text, so a lost
   * response is resolved by reading back and, if absent, writing again.
   */
  async #write(key: string, text: string): Promise<Result<void, Failure>> {
    let message = "";
    for (let i = 0; i < MAX_WRITE_ATTEMPTS; i++) {
      const put = await this.#platform.put(key, text, { ifAbsent: true });
      if (put.isOk() || put.error.code === "conflict") return ok(undefined);
      if (put.error.code !== "platform_outcome_unknown") return err(put.error);
      message = put.error.message;
      const found = await this.#platform.get(key);
      if (found.isOk() && found.value !== undefined) return ok(undefined);
    }
    return fail(
      "platform_unavailable",
      `${message}; the document is unchanged`,
    );
  }

  #addToCache(digest: string, text: string): CachedContent {
    const existing = this.#cache.get(digest);
    if (existing) return existing;
    const oldest = this.#cache.keys().next();
    if (this.#cache.size >= MAX_CACHED_CONTENTS && !oldest.done) {
      this.#cache.delete(oldest.value);
    }
    const content = { text, value: undefined };
    this.#cache.set(digest, content);
    return content;
  }
}

function parsedValue(content: CachedContent): unknown {
  content.value ??= JSON.parse(content.text);
  return content.value;
}

function partKey(digest: string, part: number): string {
  return `${contentKey(digest)}/${part}`;
}

/** Splits text into parts, never within a surrogate pair. */
function splitIntoParts(text: string): string[] {
  const parts: string[] = [];
  for (let from = 0; from < text.length;) {
    let end = Math.min(text.length, from + MAX_PART_CODE_UNITS);
    if (end < text.length && isHighSurrogate(text.charCodeAt(end - 1))) end--;
    parts.push(text.slice(from, end));
    from = end;
  }
  return parts;
}

function isHighSurrogate(unit: number): boolean {
  return unit >= 0xd800 && unit <= 0xdbff;
}

function parsePartCount(head: string): number | undefined {
  try {
    return PartIndex.safeParse(JSON.parse(head)).data?.parts;
  } catch {
    return undefined;
  }
}

function corruptContent(digest: string): Result<never, Failure> {
  return fail("bad_document", `content ${digest} in the store is corrupt`);
}
