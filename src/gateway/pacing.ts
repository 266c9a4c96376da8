/**
 * Sends bytes no faster than this instance's part of a link allows.
 *
 * @module
 */
import type { Buffer } from "node:buffer";
import { Transform, type TransformCallback } from "node:stream";
import { type Clock, type RegionId, sleep } from "../core/mod.ts";
import { CHUNK_BYTES, type LinkBudgets } from "../decisions/regions/mod.ts";

/** A link and the clock to wait by. */
export interface PacedLink {
  readonly links: LinkBudgets;
  readonly to: RegionId;
  readonly clock: Clock;
}

/** Bytes that the head of a request or an answer is counted as. */
export const HEAD_BYTES = 600;

/** Resolves once `bytes` may be sent over the link; they are then spent. */
export async function pace(link: PacedLink, bytes: number): Promise<void> {
  const { links, to, clock } = link;
  for (;;) {
    const waitMs = links.spend(to, bytes, clock.now());
    if (waitMs === 0) return;
    await sleep(clock, waitMs);
  }
}

/** Passes bytes on as the link allows; the sender is held back meanwhile. */
export class PacedStream extends Transform {
  readonly #link: PacedLink;

  constructor(link: PacedLink) {
    super();
    this.#link = link;
  }

  override _transform(
    chunk: Buffer,
    _encoding: string,
    done: TransformCallback,
  ): void {
    this.#pass(chunk).then(() => done(), done);
  }

  async #pass(chunk: Buffer): Promise<void> {
    for (let at = 0; at < chunk.length; at += CHUNK_BYTES) {
      const piece = chunk.subarray(at, at + CHUNK_BYTES);
      await pace(this.#link, piece.length);
      if (this.destroyed) return;
      this.push(piece);
    }
  }
}
