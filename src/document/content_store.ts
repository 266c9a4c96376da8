/**
 * Section contents in the platform's store, each named by its digest.
 *
 * The store holds values up to a megabyte. A larger section is cut into parts,
 * and an index object under the section's digest says how many there are.
 *
 * @module
 */
import { err, ok, type Result } from "neverthrow";
import { z } from "zod";
import { fail, type Failure, sha256 } from "../core/mod.ts";
import type { Platform } from "../store/mod.ts";
import { contentKey } from "./manifest.ts";

/** UTF-16 units in a part; three bytes each at most stay below a megabyte. */
const PART_LENGTH = 300_000;
/** Parts of one section; with it a section holds up to 19 million units. */
const MAX_PARTS = 64;
const MAX_CACHED = 1_000;
const MAX_WRITE_TRIES = 2;

const PartIndex = z.strictObject({
  parts: z.number().int().min(2).max(MAX_PARTS),
});

/** A section's text, and what it reads as once somebody asked. */
interface Content {
  readonly text: string;
  value: unknown;
}

/** Stores and finds contents; what was found once is kept, as it never changes. */
export class ContentStore {
  readonly #platform: Platform;
  readonly #cache = new Map<string, Content>();

  constructor(platform: Platform) {
    this.#platform = platform;
  }

  /**
   * Reads content by its digest.
   *
   * Errors: `not_found`, `bad_document` when what stands there is not what the
   * digest names (cut off or overwritten), and the platform's own.
   *
   * The same content gives the same value each time, which nobody may change;
   * so a change of one section costs nothing for the others.
   */
  async get(digest: string): Promise<Result<unknown, Failure>> {
    const cached = this.#cache.get(digest);
    if (cached !== undefined) return ok(valueOf(cached));
    const head = await this.#read(contentKey(digest));
    if (head.isErr()) return err(head.error);
    const text = await this.#assemble(digest, head.value);
    if (text.isErr()) return err(text.error);
    return ok(valueOf(this.#remember(digest, text.value)));
  }

  /** Content that was read or offered before, as text. */
  cached(digest: string): string | undefined {
    return this.#cache.get(digest)?.text;
  }

  /** Keeps content that came from elsewhere; gives its digest. */
  offer(text: string): string {
    const digest = sha256(text);
    this.#remember(digest, text);
    return digest;
  }

  /** Stores content unless it is there; `value_too_large` past all parts. */
  async put(text: string): Promise<Result<void, Failure>> {
    const digest = sha256(text);
    const parts = split(text);
    if (parts.length > MAX_PARTS) {
      const limit = PART_LENGTH * MAX_PARTS;
      return fail(
        "value_too_large",
        `a section may have ${limit} characters, this one has ${text.length}; divide it into parts such as "accounts/a" and "accounts/b"`,
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
    const index = indexOf(head);
    if (index === undefined) return damaged(digest);
    const keys = Array.from({ length: index }, (_, i) => partKey(digest, i));
    const parts = await Promise.all(keys.map((key) => this.#read(key)));
    const texts: string[] = [];
    for (const part of parts) {
      if (part.isErr()) return err(part.error);
      texts.push(part.value);
    }
    const text = texts.join("");
    return sha256(text) === digest ? ok(text) : damaged(digest);
  }

  async #read(key: string): Promise<Result<string, Failure>> {
    const found = await this.#platform.get(key);
    if (found.isErr()) return err(found.error);
    if (found.value === undefined) return fail("not_found", `no ${key}`);
    return ok(found.value.value);
  }

  /**
   * Writes what can only ever be the same under its key, so a lost answer is
   * settled by reading back, and by writing again where nothing stands.
   */
  async #write(key: string, text: string): Promise<Result<void, Failure>> {
    let message = "";
    for (let i = 0; i < MAX_WRITE_TRIES; i++) {
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

  #remember(digest: string, text: string): Content {
    const known = this.#cache.get(digest);
    if (known) return known;
    const oldest = this.#cache.keys().next();
    if (this.#cache.size >= MAX_CACHED && !oldest.done) {
      this.#cache.delete(oldest.value);
    }
    const content = { text, value: undefined };
    this.#cache.set(digest, content);
    return content;
  }
}

function valueOf(content: Content): unknown {
  content.value ??= JSON.parse(content.text);
  return content.value;
}

function partKey(digest: string, part: number): string {
  return `${contentKey(digest)}/${part}`;
}

/** Cuts text into parts, never between the halves of a surrogate pair. */
function split(text: string): string[] {
  const parts: string[] = [];
  for (let from = 0; from < text.length;) {
    let end = Math.min(text.length, from + PART_LENGTH);
    if (end < text.length && isHighSurrogate(text.charCodeAt(end - 1))) end--;
    parts.push(text.slice(from, end));
    from = end;
  }
  return parts;
}

function isHighSurrogate(unit: number): boolean {
  return unit >= 0xd800 && unit <= 0xdbff;
}

function indexOf(head: string): number | undefined {
  try {
    return PartIndex.safeParse(JSON.parse(head)).data?.parts;
  } catch {
    return undefined;
  }
}

function damaged(digest: string): Result<never, Failure> {
  return fail("bad_document", `content ${digest} is damaged in the store`);
}
