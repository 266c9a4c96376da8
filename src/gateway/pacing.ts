/**
 * Limits traffic to this instance's share of a link's bandwidth.
 *
 * @module
 */
import type { Buffer } from "node:buffer";
import { Transform, type TransformCallback } from "node:stream";
import { type Clock, type RegionId, sleep } from "../core/mod.ts";
import { CHUNK_BYTES, type LinkBudgets } from "../decisions/regions/mod.ts";

/** A link to a region, its budgets, and the clock for waits. */
export interface PacedLink {
  readonly links: LinkBudgets;
  readonly to: RegionId;
  readonly clock: Clock;
}

/** Bytes charged for the head of a request or a response. */
export const HEAD_BYTES = 600;

/** Waits until `bytes` may be sent over the link, and charges them. */
export async function pace(link: PacedLink, bytes: number): Promise<void> {
  const { links, to, clock } = link;
  for (;;) {
    const waitMs = links.spend(to, bytes, clock.now());
    if (waitMs === 0) return;
    await sleep(clock, waitMs);
  }
}

/** Passes bytes at the rate of the link, with backpressure on the source. */
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
    this.#pushPaced(chunk).then(() => done(), done);
  }

  async #pushPaced(chunk: Buffer): Promise<void> {
    for (let at = 0; at < chunk.length; at += CHUNK_BYTES) {
      const slice = chunk.subarray(at, at + CHUNK_BYTES);
      await pace(this.#link, slice.length);
      if (this.destroyed) return;
      this.push(slice);
    }
  }
}
