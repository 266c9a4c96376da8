/**
 * Collects a body in blocks, without a second copy of the whole.
 *
 * @module
 */
import { Buffer } from "node:buffer";

/** Size of the first block into which small chunks are copied, in bytes. */
const MIN_BLOCK_BYTES = 4_096;
/** Size of the largest block, in bytes. */
export const MAX_BLOCK_BYTES = 65_536;
/** Chunks from this size on are kept as they are, in bytes. */
const MIN_KEPT_BYTES = 16_384;

/** Where a body takes its memory from. */
export interface BodyBlocksOptions {
  /** Asked before more is kept; false rejects the chunk. */
  readonly reserve: (bytes: number) => boolean;
  /** Bytes that are reserved already: the length of the body, if it is known. */
  readonly reservedBytes: number;
}

/**
 * A body as it arrives. Small chunks are copied together: each buffer of its own
 * takes some hundred bytes besides its content, so a body in chunks of one byte
 * would take hundreds of times its size.
 *
 * @example
 * ```ts
 * const reserve = (bytes: number) => memory.tryAdd(bytes, rank);
 * const body = new BodyBlocks({ reserve, reservedBytes: 0 });
 * req.on("data", (chunk) => body.add(chunk));
 * ```
 */
export class BodyBlocks {
  readonly #opts: BodyBlocksOptions;
  readonly #blocks: Buffer[] = [];
  /** The last block, if it has room left. */
  #open: Buffer | undefined;
  #openBytes = 0;
  /** What is left of the bytes reserved before. */
  #reserved: number;
  #size = 0;

  constructor(opts: BodyBlocksOptions) {
    this.#opts = opts;
    this.#reserved = opts.reservedBytes;
  }

  /** Bytes of the chunks that were added. */
  get size(): number {
    return this.#size;
  }

  /** Adds a chunk; false if memory for it could not be reserved. */
  add(chunk: Buffer): boolean {
    this.#size += chunk.length;
    if (this.#isKept(chunk)) {
      this.#blocks.push(chunk);
      return this.#take(chunk.length);
    }
    let rest = chunk.subarray(this.#fillOpen(chunk));
    while (rest.length > 0) {
      if (!this.#openBlock()) return false;
      rest = rest.subarray(this.#fillOpen(rest));
    }
    return true;
  }

  /** The body in order; nothing may be added afterwards. */
  end(): readonly Buffer[] {
    this.#closeOpen();
    return this.#blocks;
  }

  /** Whether a chunk is large enough, or all that is left. */
  #isKept({ length }: Buffer): boolean {
    if (this.#open !== undefined) return false;
    return length >= MIN_KEPT_BYTES || length === this.#reserved;
  }

  /** Copies what fits into the open block; returns how many bytes did. */
  #fillOpen(chunk: Buffer): number {
    if (this.#open === undefined) return 0;
    const copied = chunk.copy(this.#open, this.#openBytes);
    this.#openBytes += copied;
    if (this.#openBytes === this.#open.length) this.#closeOpen();
    return copied;
  }

  /** Opens a block that grows with the body; false if it does not fit. */
  #openBlock(): boolean {
    const usual = Math.max(
      MIN_BLOCK_BYTES,
      Math.min(MAX_BLOCK_BYTES, this.#size),
    );
    const bytes = this.#reserved > 0 ? Math.min(usual, this.#reserved) : usual;
    if (!this.#take(bytes)) return false;
    this.#open = Buffer.allocUnsafeSlow(bytes);
    return true;
  }

  #take(bytes: number): boolean {
    if (this.#reserved >= bytes) {
      this.#reserved -= bytes;
      return true;
    }
    return this.#opts.reserve(bytes);
  }

  #closeOpen(): void {
    if (this.#open === undefined) return;
    this.#blocks.push(this.#open.subarray(0, this.#openBytes));
    this.#open = undefined;
    this.#openBytes = 0;
  }
}
