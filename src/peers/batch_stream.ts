/**
 * Batches to one peer over a persistent stream.
 *
 * A separate call per batch costs seven times the processor time, mostly for
 * headers and abort signals, and keeps instances busy without any request.
 *
 * @module
 */
import type { Client } from "@connectrpc/connect";
import {
  createWritableIterable,
  type WritableIterable,
} from "@connectrpc/connect/protocol";
import { ok, type Result } from "neverthrow";
import { type Clock, fail, type Failure } from "../core/mod.ts";
import type { Batch, PeerService } from "../gen/peer_pb.ts";

interface OpenStream {
  readonly batches: WritableIterable<Batch>;
  readonly answers: AsyncIterator<Batch>;
  readonly end: AbortController;
}

/** Dependencies of `BatchStream`. */
export interface BatchStreamDeps {
  readonly client: Client<typeof PeerService>;
  readonly clock: Clock;
  readonly timeoutMs: number;
}

/**
 * A stream to one peer, opened on first use and reopened after a failure.
 * Answers arrive in the order of the batches; only one may be outstanding.
 */
export class BatchStream {
  readonly #deps: BatchStreamDeps;
  #current: OpenStream | undefined;

  constructor(deps: BatchStreamDeps) {
    this.#deps = deps;
  }

  /** Sends a batch and returns its answer; fails with `peer_unavailable`. */
  async exchange(batch: Batch): Promise<Result<Batch, Failure>> {
    const current = this.#current ??= this.#openStream();
    const { clock, timeoutMs } = this.#deps;
    // Closes the stream on a time-out: a late answer would otherwise be taken
    // for the answer to the next batch.
    const timer = clock.after(timeoutMs, () => this.close());
    try {
      void current.batches.write(batch).catch(() => this.close());
      const answer = await current.answers.next();
      if (!answer.done) return ok(answer.value);
      this.close();
      return fail(
        "peer_unavailable",
        "the peer closed the stream without an answer",
      );
    } catch (cause) {
      this.close();
      return fail("peer_unavailable", String(cause));
    } finally {
      timer.close();
    }
  }

  /** Closes the stream; the next batch opens another. */
  close(): void {
    this.#current?.end.abort();
    this.#current = undefined;
  }

  #openStream(): OpenStream {
    const end = new AbortController();
    const batches = createWritableIterable<Batch>();
    const answers = this.#deps.client
      .converse(batches, { signal: end.signal })[Symbol.asyncIterator]();
    return { batches, answers, end };
  }
}
