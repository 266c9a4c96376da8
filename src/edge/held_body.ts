/**
 * The body of a request while it is forwarded.
 *
 * @module
 */
import type { Buffer } from "node:buffer";

/**
 * A body that stays in memory, and counted, until nobody holds it any more. An
 * endpoint may respond before it has read the whole body, which then still waits
 * to be written after its request has ended.
 *
 * @example
 * ```ts
 * const body = new HeldBody(blocks, () => reservation.release(clock.now()));
 * req.once("close", body.hold());
 * body.release();
 * ```
 */
export class HeldBody {
  readonly bytes: number;
  /** Drops the hold of whoever made the body. */
  readonly release: () => void;
  readonly #onFree: () => void;
  #blocks: readonly Buffer[];
  #holders = 0;

  /** @param onFree Called once, when the last holder has released it. */
  constructor(blocks: readonly Buffer[], onFree: () => void) {
    this.#blocks = blocks;
    this.#onFree = onFree;
    this.bytes = blocks.reduce((total, block) => total + block.length, 0);
    this.release = this.hold();
  }

  /** The content in order; empty once it is free. */
  get blocks(): readonly Buffer[] {
    return this.#blocks;
  }

  /** Keeps the body until the function that is returned is called. */
  hold(): () => void {
    this.#holders++;
    let isHeld = true;
    return () => {
      if (!isHeld) return;
      isHeld = false;
      if (--this.#holders > 0) return;
      // A streamed response may still refer to its request.
      this.#blocks = [];
      this.#onFree();
    };
  }
}
