/**
 * Records what the memory for bodies and responses cannot hold.
 *
 * @module
 */
import type { Failure, Log, Metrics } from "../core/mod.ts";
import type { ByteBudget } from "../decisions/memory/mod.ts";

/** Dependencies of the log. */
export interface BufferLogOptions {
  readonly log: Log;
  readonly metrics: Metrics;
  readonly memory: ByteBudget;
}

/** Logs and counts the decisions about buffers of one server. */
export class BufferLog {
  readonly #opts: BufferLogOptions;

  constructor(opts: BufferLogOptions) {
    this.#opts = opts;
  }

  /** A response is passed on as it arrives. */
  streamed(requestId: string, rank: number): void {
    const { log, metrics } = this.#opts;
    metrics.count("buffers.streamed");
    log.event("response_streamed", {
      request: requestId,
      rank,
      ...this.#budget(),
    });
  }

  /** A request is refused. */
  refused(
    requestId: string,
    why: Failure,
    { bytes, rank }: { readonly bytes: number; readonly rank: number },
  ): void {
    const { log, metrics } = this.#opts;
    metrics.count("buffers.refused");
    log.event("body_refused", {
      request: requestId,
      bytes,
      rank,
      ...this.#budget(),
      retryAfterMs: Math.round(why.retryAfterMs ?? 0),
    });
  }

  #budget(): { readonly usedBytes: number; readonly limitBytes: number } {
    const { usedBytes, limitBytes } = this.#opts.memory;
    return { usedBytes, limitBytes };
  }
}
